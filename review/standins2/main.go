// Command standins2 is the stand-in for the platform in the cases of review/REPORT-2.md: the workers, the
// operator and the clients of a small deployment. A script starts the programs of the system and then
// this program, which plays one case and judges it by what its own sockets have seen.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
)

// Exit statuses of a case.
const (
	exitHeld      = 0 // the rule was kept
	exitBroken    = 1 // the rule was broken
	exitCouldNot  = 2 // the case could not run
	broken        = "BROKEN"
	held          = "HELD: no rule was broken in this step"
	listSeparator = ","
)

// errBroken says that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// options are the addresses that a script gives to a case.
type options struct {
	controls []string // addresses for workers and the operator
	entries  []string // addresses for clients
	ip       string   // loopback address for the workers
	record   string   // file for what was sent, answered and run
	job      string   // id of the job that the steps of a case share
	trouble  bool
}

var cases = map[string]func(options, *record) error{
	"accept":         playAccept,
	"recover":        playRecover,
	"other-kind":     playOtherKind,
	"lost-worker":    playLostWorker,
	"foreign-report": playForeignReport,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "ports" {
		os.Exit(printPorts(os.Args[2]))
	}
	controls := flag.String("controls", "", "addresses of the control replicas for workers and operators")
	entries := flag.String("entries", "", "addresses of the entry processes for clients")
	o := options{}
	flag.StringVar(&o.ip, "ip", "", "loopback address for the workers")
	flag.StringVar(&o.record, "record", "record.txt", "file for what was sent, answered and run")
	flag.StringVar(&o.job, "job", "", "id of the job that the steps of a case share")
	flag.BoolVar(&o.trouble, "trouble", true, "play the disruption")
	flag.Parse()
	o.controls, o.entries = split(*controls), split(*entries)
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", flag.Arg(0))
		os.Exit(exitCouldNot)
	}
	os.Exit(run(o, play))
}

func split(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, listSeparator)
}

func run(o options, play func(options, *record) error) int {
	r, err := newRecord(o.record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer r.close()
	switch err := play(o, r); {
	case errors.Is(err, errBroken):
		r.log("%s: %v", broken, err)
		return exitBroken
	case err != nil:
		r.log("could not run: %v", err)
		return exitCouldNot
	}
	r.log(held)
	return exitHeld
}
