package settings

import _ "anvilwick.example/anvilwick/lib/testseed" // fixed seeds
