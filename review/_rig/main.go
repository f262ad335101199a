package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. Each returns whether the rule was broken; an error says that the case couldn't run.
var cases = map[string]func(s *site, trouble bool) (bool, error){
	"crash": playCrash,
	"lapse": playLapse,
	"twice": playTwice,
}

func main() {
	out := flag.String("record", "", "file for the record")
	flag.Parse()
	os.Exit(playCase(*out, flag.Arg(0), os.Getenv("TROUBLE") != "0"))
}

func playCase(out, name string, trouble bool) int {
	play := cases[name]
	f, err := os.Create(out)
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "rig: usage: rig -record FILE CASE:", err)
		return failed
	}
	defer f.Close()
	r := &record{out: io.MultiWriter(f, os.Stdout), began: time.Now()}
	s, err := newSite(r)
	if err != nil {
		r.add("the case couldn't run: %v", err)
		return failed
	}
	defer s.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxTime):
		}
		r.add("the case couldn't run: it was stopped")
		s.close()
		os.Exit(failed)
	}()
	r.add("case %s, trouble %t", name, trouble)
	isBroken, err := play(s, trouble)
	switch {
	case err != nil:
		r.add("the case couldn't run: %v", err)
		return failed
	case isBroken:
		r.add("result: the rule was broken")
		return broken
	}
	r.add("result: the rule held")
	return held
}
