package serve

import (
	"fmt"
	"log/slog"
	"strings"

	"arrowcleat/internal/lang"
	"arrowcleat/internal/settings"
)

// live are the settings that a running marshal can change. The module is given its own once, at the start; sockets
// and files are opened once.
var reloadable = map[string]bool{"limits.connections": true, "limits.open": true, "limits.repeat_body_bytes": true,
	"limits.held_answer_bytes": true, "times.header_ms": true, "times.body_ms": true, "times.write_ms": true, "times.idle_ms": true,
	"times.stop_ms": true, "log.level": true}

// Reload takes new settings, all of them or none. It tells what differs; the error names what needs a restart.
func (m *Marshal) Reload(set *settings.Settings, level *slog.LevelVar) ([]lang.Change, error) {
	m.reloadMu.Lock() // one at a time
	defer m.reloadMu.Unlock()
	changes := lang.Diff(m.Front.Current(), set)
	var restart []string
	for _, c := range changes {
		if !reloadable[c.Path] {
			restart = append(restart, c.String())
		}
	}
	if len(restart) > 0 {
		return changes, fmt.Errorf("nothing was changed: these need a restart: %s", strings.Join(restart, "; "))
	}
	m.Front.Change(set)
	if level != nil {
		level.UnmarshalText([]byte(set.Log.Level)) // checked with the settings
	}
	return changes, nil
}
