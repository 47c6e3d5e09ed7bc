package gateway

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/process/journal"
)

// settingsPollInterval is the interval at which the settings file is read,
// since it may change without a signal.
const settingsPollInterval = 2 * time.Second

// Reload applies new settings while the node runs. It returns an error and
// changes nothing if name, data_centre, listen, store or target differ from
// the current settings.
func (n *Node) Reload(settings Settings) error {
	old := n.settings()
	if settings.Name != old.Name || settings.Listen != old.Listen || settings.DataCentre != old.DataCentre {
		return errors.New("reload: changing name, data_centre or listen requires a restart")
	}
	if settings.Store != old.Store || settings.Target != old.Target {
		return errors.New("reload: changing store or target requires a restart")
	}
	n.currentSettings.Store(&settings)
	n.localTarget.setRetryBudget(settings.Limits)
	n.localTarget.configure(n.config.snapshot())
	return nil
}

// WatchSettings reloads the settings file when its content changes and on each
// signal, until the context ends. Settings that can't be applied are logged,
// and the current ones stay active.
func (n *Node) WatchSettings(ctx context.Context, path string, signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastText, _ := os.ReadFile(path) // on an error, the first successful read counts as a change
	for {
		source := "file"
		select {
		case <-ctx.Done():
			return
		case <-signals:
			source = "signal"
		case <-ticker.C:
		}
		text, err := os.ReadFile(path)
		if err != nil {
			n.events.log(journal.Change, "reload_refused", "source", source, "err", err)
			continue
		}
		if source == "file" && bytes.Equal(text, lastText) {
			continue
		}
		lastText = text
		n.reloadText(text, source)
	}
}

// reloadText applies the text of a settings file, or logs why it can't. Source
// says what caused the reload, "file" or "signal".
func (n *Node) reloadText(text []byte, source string) {
	settings, err := ParseSettings(text)
	if err == nil {
		err = n.Reload(settings)
	}
	if err != nil {
		n.events.log(journal.Change, "reload_refused", "source", source, "err", err)
		return
	}
	n.events.log(journal.Change, "reload", "source", source, "settings", settings, "unsupported", settings.unsupported())
}
