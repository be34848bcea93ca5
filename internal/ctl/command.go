package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/core/strictconf"
	"github.com/godwitlink/godwitlink/internal/api"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/tlskeys"
)

// options are the flags of all subcommands.
type options struct {
	entries []string
	output  string
	timeout time.Duration
	keys    tlskeys.Files
}

const (
	outputText = "text"
	outputJSON = "json"
)

// FaultsError says that a cell file has faults and was not sent.
type FaultsError struct {
	File   string
	Faults strictconf.Faults
}

// Error returns one line per fault, each starting with the name of the file.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = e.File + ": " + fault.String()
	}
	return strings.Join(lines, "\n")
}

// ErrNotInForce says that a file was accepted but is not yet in force on every entry process.
var ErrNotInForce = errors.New("not in force everywhere yet")

// ExitStatus returns the exit status for an error of Command.
func ExitStatus(err error) int {
	var faults *FaultsError
	var refused *refusal
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &faults):
		return ExitFaults
	case errors.As(err, &refused) && len(refused.problem.Faults) > 0:
		return ExitFaults
	case errors.Is(err, ErrUnreachable):
		return ExitUnreachable
	case errors.Is(err, ErrUnknownOutcome):
		return ExitUnknown
	case errors.Is(err, ErrRefused):
		return ExitRefused
	case errors.Is(err, ErrNotInForce):
		return ExitNotInForce
	default:
		return ExitFailure
	}
}

// Command returns the command line of godwitctl.
func Command(version string) *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:   "godwitctl",
		Short: "Submit cell files and read back what is in force",
		Long: "godwitctl submits whole cell files and reads back what is in force.\n\n" +
			"Exit status: 0 done, 1 failure, 2 faults in the file, 3 refused, 4 no entry process answered,\n" +
			"5 outcome unknown (apply the same file again), 6 not in force everywhere within the time given.",
		Version:      version,
		SilenceUsage: true, SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error { return o.check() },
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&o.entries, "entry", nil, "operators' address of an entry process (IP:port); repeat for several")
	flags.StringVar(&o.output, "output", outputText, "text or json")
	flags.DurationVar(&o.timeout, "timeout", 15*time.Second, "longest time for the whole command")
	flags.StringVar(&o.keys.Certificate, "certificate", "", "operator's certificate (PEM); without it plain text is used")
	flags.StringVar(&o.keys.Key, "key", "", "key of the certificate (PEM)")
	flags.StringVar(&o.keys.Authorities, "authorities", "", "certificates that sign the entry processes' (PEM)")
	root.AddCommand(o.applyCommand(), o.checkCommand(), o.diffCommand(), o.getCommand(),
		o.statusCommand(), o.explainCommand(), o.whereCommand(), o.watchCommand())
	return root
}

func (o *options) check() error {
	if o.output != outputText && o.output != outputJSON {
		return fmt.Errorf("--output is %q; expected text or json", o.output)
	}
	return nil
}

func (o *options) client() (*client, error) {
	if len(o.entries) == 0 {
		return nil, errors.New("--entry is required")
	}
	c := &client{scheme: "http", entries: o.entries, http: &http.Client{Timeout: o.timeout}}
	if o.keys == (tlskeys.Files{}) {
		return c, nil
	}
	keys, err := tlskeys.Open(o.keys, eventlog.Nop(), metrics.New())
	if err != nil {
		return nil, err
	}
	c.scheme = "https"
	c.http.Transport = &http.Transport{DialTLSContext: keys.DialTLS}
	return c, nil
}

// print writes value as JSON or, in text mode, calls text.
func (o *options) print(out io.Writer, value any, text func(io.Writer)) error {
	if o.output == outputText {
		text(out)
		return nil
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// readCellFile reads a cell file and checks it without contacting the cell.
func readCellFile(path string) ([]byte, cellconfig.File, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, cellconfig.File{}, err
	}
	file, faults := cellconfig.Parse(body)
	if len(faults) > 0 {
		return nil, cellconfig.File{}, &FaultsError{File: path, Faults: faults}
	}
	return body, file, nil
}

func printAccepted(out io.Writer, accepted api.CellFileAccepted) {
	word := "accepted"
	if accepted.Repeated {
		word = "accepted again"
	}
	fmt.Fprintf(out, "%s: generation %d, digest %s\n", word, accepted.Generation, accepted.Digest)
	for _, change := range accepted.Changes {
		fmt.Fprintln(out, "  "+change)
	}
}
