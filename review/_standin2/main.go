// Command review2 plays one case of the review: it starts the system's processes with the command of the deploy file, with small stand-ins of
// the platform's store, the workers and the consumers, all on loopback.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(rec *record, root string, trouble bool) (int, error){
	"memory": memoryCase,
	"poison": poisonCase,
	"home":   homeCase,
	"order":  orderCase,
	"taken":  takenCase,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE REPOSITORY RECORD")
		os.Exit(failed)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	code, err := cases[os.Args[1]](rec, os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("the case couldn't run: %v", err)
		code = failed
	}
	rec.say("exit %d", code)
	os.Exit(code)
}
