package stream

import _ "anvilwick.example/anvilwick/lib/testseed" // fixed seeds
