package platformproc

import (
	"bytes"
	"context"
	"os"
	"slices"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/settings"
)

// Log events.
var (
	eventSeedsChanged    = eventlog.Declare(4314, zapcore.InfoLevel, "the settings file names other seeds, which are in use now")
	eventSettingsRefused = eventlog.Declare(4315, zapcore.WarnLevel, "the changed settings file cannot be used, the former seeds stay")
)

var metricSettingsReloads = metrics.Declare("settings_reloads_total", metrics.KindCounter,
	"readings of a changed settings file, by reason: reloaded or refused")

// settingsPollInterval is how often the settings file is compared. The platform may change it without
// a signal, and the seeds in it may be some seconds old already.
const settingsPollInterval = 2 * time.Second

// seedWatcher is the task that follows the seeds in the settings file. A process whose seeds are all
// gone finds its group with those that the platform writes later. The other settings are read at the
// next start.
type seedWatcher struct {
	file    string
	hangups <-chan os.Signal
	parse   func(file string, content []byte) ([]string, error)
	apply   func(ctx context.Context, seeds []string) error
	logger  *eventlog.Logger
	metrics *metrics.Set

	seeds   []string // in use
	content []byte   // of the file that names them; nil before the first reading
	problem string   // why the file cannot be used; empty if it can
}

// run compares the file at each SIGHUP and every settingsPollInterval until ctx ends.
func (w *seedWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.hangups:
			w.logger.Log(eventHangup)
		case <-ticker.C:
		}
		w.poll(ctx)
	}
}

// poll uses the seeds of the file if it has changed. After an error the next poll tries again.
func (w *seedWatcher) poll(ctx context.Context) {
	content, err := os.ReadFile(w.file)
	if err == nil && bytes.Equal(content, w.content) {
		return
	}
	if err == nil {
		err = w.use(ctx, content)
	}
	if err == nil {
		w.content, w.problem = content, ""
		return
	}
	if problem := eventlog.ErrorText(err); problem != w.problem {
		w.problem = problem
		w.logger.Log(eventSettingsRefused, zap.Error(err))
		w.metrics.Add(metricSettingsReloads, "refused", 1)
	}
}

func (w *seedWatcher) use(ctx context.Context, content []byte) error {
	seeds, err := w.parse(w.file, content)
	if err != nil || slices.Equal(seeds, w.seeds) {
		return err
	}
	if err := w.apply(ctx, seeds); err != nil {
		return err
	}
	w.logger.Log(eventSeedsChanged, zap.Strings("seeds", seeds))
	w.metrics.Add(metricSettingsReloads, "reloaded", 1)
	w.seeds = seeds
	return nil
}

func parseControlSeeds(file string, content []byte) ([]string, error) {
	var s ControlSettings
	err := settings.Parse(file, content, &s)
	return s.Seeds, err
}

func parseEntrySeeds(file string, content []byte) ([]string, error) {
	var s EntrySettings
	err := settings.Parse(file, content, &s)
	return s.Seeds, err
}
