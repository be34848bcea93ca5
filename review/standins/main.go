// Command standins plays the workers, the clients, the operator and the adviser of a small
// deployment for the scripts in review/, and judges what they see. It starts no process: the scripts
// start the programs and write their process ids into files, and this command sends them signals.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Exit statuses of a scenario.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standins settings|SCENARIO [flags]")
		os.Exit(exitNotRun)
	}
	name := os.Args[1]
	flags := flag.NewFlagSet(name, flag.ExitOnError)
	d := deployment{}
	flags.StringVar(&d.dir, "dir", "", "temporary folder of the run")
	flags.StringVar(&d.network, "net", "", "first two octets of the loopback addresses")
	flags.IntVar(&d.controls, "controls", 5, "number of control processes")
	flags.IntVar(&d.spares, "spares", 0, "number of control machines that are added later")
	flags.IntVar(&d.entries, "entries", 3, "number of entry processes")
	flags.StringVar(&d.recordFile, "record", "record.txt", "file for what was sent, answered and run")
	flags.BoolVar(&d.trouble, "trouble", true, "cause the disruption")
	if err := flags.Parse(os.Args[2:]); err != nil {
		os.Exit(exitNotRun)
	}
	if name == "settings" {
		if err := d.writeSettings(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	run, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", name)
		os.Exit(exitNotRun)
	}
	c, err := newCell(d)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	defer c.close()
	c.log("scenario %s, with the disruption: %v", name, d.trouble)
	run(c)
	os.Exit(c.finish())
}

// scenarios are the cases that scripts may run.
var scenarios = map[string]func(*cell){
	"late":    lateScenario,
	"load":    loadScenario,
	"configs": configsScenario,
	"wipes":   wipesScenario,
	"serves":  servesScenario,
}

// envInt returns a number from the environment, or another one if there is none.
func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// quoteAll returns the values as a list of TOML strings.
func quoteAll(values []string) string {
	quoted := make([]string, len(values))
	for i, value := range values {
		quoted[i] = fmt.Sprintf("%q", value)
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}
