package settings

import (
	"fmt"
	"strings"

	"github.com/godwitlink/godwitlink/core/strictconf"
)

// TLSMode selects how the connections of an endpoint are protected.
type TLSMode string

// Values of TLSMode.
const (
	TLSPlain  TLSMode = "plain"  // no TLS; the names of the files must be empty
	TLSServer TLSMode = "tls"    // only the server presents a certificate
	TLSMutual TLSMode = "mutual" // both sides present a certificate signed by the authorities
)

// TLS holds the TLS settings of an endpoint. All files are in PEM format.
type TLS struct {
	Mode        TLSMode `toml:"mode"`
	Certificate string  `toml:"certificate"`
	Key         string  `toml:"key"`
	Authorities string  `toml:"authorities"`
}

// Check returns the faults of the TLS table at key. Only the given modes are allowed.
func (t TLS) Check(key string, allowed ...TLSMode) strictconf.Faults {
	names := make([]string, len(allowed))
	known := false
	for i, mode := range allowed {
		names[i] = string(mode)
		known = known || mode == t.Mode
	}
	if !known {
		return strictconf.Faults{{
			Key: key + ".mode", Problem: fmt.Sprintf("%q is not a mode of this endpoint", t.Mode),
			Expected: strings.Join(names, " or "),
		}}
	}
	needsKeyPair := t.Mode != TLSPlain
	needsAuthorities := t.Mode == TLSMutual
	faults := checkFileName(key+".certificate", t.Certificate, needsKeyPair)
	faults = append(faults, checkFileName(key+".key", t.Key, needsKeyPair)...)
	return append(faults, checkFileName(key+".authorities", t.Authorities, needsAuthorities)...)
}

func checkFileName(key, file string, required bool) strictconf.Faults {
	switch {
	case required && file == "":
		return strictconf.Faults{{Key: key, Problem: "is empty", Expected: "a PEM file"}}
	case !required && file != "":
		return strictconf.Faults{{Key: key, Problem: "is set", Expected: "an empty string in this mode"}}
	}
	return nil
}
