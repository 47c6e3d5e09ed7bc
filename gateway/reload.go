package gateway

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/process/journal"
)

// settingsPollInterval is the time between two looks at the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// Reload takes in new settings. Those that can't be taken in while the node
// runs are refused whole.
func (n *Node) Reload(settings Settings) error {
	old := n.settings()
	if settings.Name != old.Name || settings.Listen != old.Listen || settings.DataCentre != old.DataCentre {
		return errors.New("reload: name, data_centre and listen take a restart")
	}
	if settings.Store != old.Store || settings.Target != old.Target {
		return errors.New("reload: store and target take a restart")
	}
	n.currentSettings.Store(&settings)
	n.localTarget.setRetryBudget(settings.Limits)
	n.localTarget.configure(n.config.snapshot())
	return nil
}

// WatchSettings takes in the settings file when it changes, and when told by
// signals, until the context ends.
func (n *Node) WatchSettings(ctx context.Context, path string, signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastText, _ := os.ReadFile(path) // a file that can't be read now counts as changed later
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

// reloadText takes in the text of a settings file, or logs why not.
func (n *Node) reloadText(text []byte, source string) {
	settings, err := ParseSettings(text)
	if err == nil {
		err = n.Reload(settings)
	}
	if err != nil {
		n.events.log(journal.Change, "reload_refused", "source", source, "err", err)
		return
	}
	n.events.log(journal.Change, "reload", "source", source, "settings", settings)
}
