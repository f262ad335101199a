package member

import _ "anvilwick.example/anvilwick/lib/testseed" // fixed seeds
