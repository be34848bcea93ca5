// Package settings reads the settings files of the processes. A file is strict TOML that contains
// every setting (core/strictconf) and is checked completely before the process starts.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/godwitlink/godwitlink/core/strictconf"
)

// ExitStatus is the exit status of a process whose settings file has faults.
const ExitStatus = 2

// Checker is implemented by settings that have rules beyond the types of their fields.
type Checker interface {
	// Check returns the faults of decoded settings. Each fault names its key; Load adds the line
	// number.
	Check() strictconf.Faults
}

// FileError holds all faults of a settings file.
type FileError struct {
	File   string
	Faults strictconf.Faults
}

// Error returns one line per fault, each starting with the name of the file.
func (e *FileError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = e.File + ": " + fault.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads a settings file, decodes it into the struct that into points to, and checks the
// result. The error is a *FileError when the file can be read but has faults.
func Load(file string, into Checker) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return Parse(file, data, into)
}

// Parse is like Load for the content of a settings file that was read already.
func Parse(file string, data []byte, into Checker) error {
	faults := strictconf.Decode(data, into)
	if len(faults) == 0 {
		faults = addLineNumbers(data, into.Check())
	}
	if len(faults) > 0 {
		return &FileError{File: file, Faults: faults}
	}
	if known, ok := into.(interface{ setFile(string) }); ok {
		known.setFile(file)
	}
	return nil
}

func addLineNumbers(data []byte, faults strictconf.Faults) strictconf.Faults {
	lines := strictconf.Lines(data)
	for i := range faults {
		if faults[i].Line == 0 {
			faults[i].Line = lines[faults[i].Key]
		}
	}
	faults.Sort()
	return faults
}

// Common holds the settings that every process has.
type Common struct {
	Name          string `toml:"name"`
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure_domain"`
	LogLevel      string `toml:"log_level"`

	File string `toml:"-"` // the settings file; set by Load and Parse
}

func (c *Common) setFile(file string) { c.File = file }

// Check returns the faults of the common settings.
func (c Common) Check() strictconf.Faults {
	faults := CheckNotEmpty("name", c.Name)
	faults = append(faults, CheckNotEmpty("region", c.Region)...)
	faults = append(faults, CheckNotEmpty("failure_domain", c.FailureDomain)...)
	return append(faults, CheckLogLevel("log_level", c.LogLevel)...)
}

// CheckAddress returns a fault when address is not an IP address and port.
func CheckAddress(key, address string) strictconf.Faults {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return strictconf.Faults{{
			Key:      key,
			Problem:  fmt.Sprintf("%q is not an address", address),
			Expected: "an IP address and port, such as 127.0.0.1:7000",
		}}
	}
	return nil
}

// CheckNotEmpty returns a fault when value is empty.
func CheckNotEmpty(key, value string) strictconf.Faults {
	if value == "" {
		return strictconf.Faults{{Key: key, Problem: "is empty", Expected: "a name"}}
	}
	return nil
}

// CheckLogLevel returns a fault when level is not a log level.
func CheckLogLevel(key, level string) strictconf.Faults {
	switch level {
	case "debug", "info", "warn", "error":
		return nil
	}
	return strictconf.Faults{{
		Key:      key,
		Problem:  fmt.Sprintf("%q is not a log level", level),
		Expected: "debug, info, warn or error",
	}}
}
