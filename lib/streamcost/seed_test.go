package streamcost

import _ "anvilwick.example/anvilwick/lib/testseed" // sets a fixed seed for rapid
