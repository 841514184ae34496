package serve

import (
	"fmt"
	"log/slog"
	"strings"

	"arrowcleat/internal/lang"
	"arrowcleat/internal/settings"
)

// reloadable holds the settings that can change while a marshal runs. The module gets its settings once, at the start,
// and sockets and files are opened once.
var reloadable = map[string]bool{"limits.connections": true, "limits.open": true, "limits.repeat_body_bytes": true,
	"limits.held_answer_bytes": true, "times.header_ms": true, "times.body_ms": true, "times.write_ms": true, "times.idle_ms": true,
	"times.stop_ms": true, "log.level": true}

// Reload applies new settings, all of them or none. It returns the differences; the error names those that need a
// restart.
func (m *Marshal) Reload(set *settings.Settings, level *slog.LevelVar) ([]lang.Change, error) {
	m.reloadMu.Lock() // one reload at a time
	defer m.reloadMu.Unlock()
	changes := lang.Diff(m.Front.CurrentSettings(), set)
	var restart []string
	for _, c := range changes {
		if !reloadable[c.Path] {
			restart = append(restart, c.String())
		}
	}
	if len(restart) > 0 {
		return changes, fmt.Errorf("no setting was changed: these changes need a restart: %s", strings.Join(restart, "; "))
	}
	m.Front.UpdateSettings(set)
	if level != nil {
		level.UnmarshalText([]byte(set.Log.Level)) // the settings are already validated
	}
	return changes, nil
}
