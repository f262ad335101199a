package enginemodel

import _ "anvilwick.example/anvilwick/lib/testseed" // sets a fixed seed for rapid
