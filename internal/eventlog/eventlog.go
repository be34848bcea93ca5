// Package eventlog writes structured logs as numbered events through zap. Every event is declared
// once, in the package that logs it, and listed in docs/logs.md, so that an operator can look its
// number up.
package eventlog

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is an entry of the catalogue.
type Event struct {
	Number int
	Level  zapcore.Level
	Text   string // fixed message; details are logged as fields
}

// catalogue holds every declared event. It is written only during the initialization of package
// variables and needs no lock.
var catalogue = map[int]Event{}

// Declare adds an event to the catalogue. It may be called only to initialize a package variable,
// and panics when the number is already in use.
func Declare(number int, level zapcore.Level, text string) Event {
	if other, taken := catalogue[number]; taken {
		panic(fmt.Sprintf("event number %d is already used by %q", number, other.Text))
	}
	event := Event{Number: number, Level: level, Text: text}
	catalogue[number] = event
	return event
}

// Catalogue returns all declared events in the order of their numbers.
func Catalogue() []Event {
	events := make([]Event, 0, len(catalogue))
	for _, event := range catalogue {
		events = append(events, event)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Logger writes events together with the name of the process.
type Logger struct {
	zap *zap.Logger
}

// New returns a logger that writes JSON lines to out. level is the name of a zap level, such as
// "info".
func New(out io.Writer, level, process string) (*Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.TimeKey = "time"
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(out)), parsed)
	return &Logger{zap: zap.New(core).With(zap.String("process", process))}, nil
}

// Nop returns a logger that writes nothing.
func Nop() *Logger { return &Logger{zap: zap.NewNop()} }

// Log writes one event.
func (l *Logger) Log(event Event, fields ...zap.Field) {
	checked := l.zap.Check(event.Level, event.Text)
	if checked == nil {
		return
	}
	line := make([]zap.Field, 0, len(fields)+1)
	line = append(line, zap.Int("event", event.Number))
	for _, field := range fields {
		line = append(line, errorAsText(field))
	}
	checked.Write(line...)
}

// errorAsText replaces an error field by the text of the error. For errors with a verbose form zap
// also logs that form, which contains a stack trace of about 1 KB.
func errorAsText(field zap.Field) zap.Field {
	if field.Type != zapcore.ErrorType {
		return field
	}
	if err, ok := field.Interface.(error); ok {
		return zap.String(field.Key, ErrorText(err))
	}
	return field
}

// ErrorText returns the text of an error with its causes. Error alone leaves out the cause of an
// error of merry, also of one that errors.Join has combined with others.
func ErrorText(err error) string {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return fmt.Sprintf("%v", err)
	}
	var texts []string
	for _, part := range joined.Unwrap() {
		texts = append(texts, ErrorText(part))
	}
	return strings.Join(texts, "; ")
}
