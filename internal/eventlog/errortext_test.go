package eventlog

import (
	"errors"
	"testing"

	"github.com/ansel1/merry/v2"
)

// Guards against log lines that leave out the cause of an error.
func TestErrorTextNamesCauses(t *testing.T) {
	failed := merry.Wrap(merry.Sentinel("cannot write"), merry.WithCause(errors.New("no space left")))
	got := ErrorText(errors.Join(failed, errors.New("stopped")))
	if want := "cannot write: no space left; stopped"; got != want {
		t.Errorf("text %q, want %q", got, want)
	}
}
