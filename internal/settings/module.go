package settings

import (
	"slices"
	"strings"

	"arrowcleat/balance"
)

// ModuleSettings returns the settings of the decision module.
func (x *Settings) ModuleSettings() balance.Settings {
	s := balance.Settings{
		"marshals":                  float64(x.Instance.Marshals),
		"number":                    float64(x.Instance.Number),
		"zone":                      float64(x.ZoneIndex(x.Instance.Zone)),
		"discovery":                 "automatic",
		"worth-by":                  x.WorthBy,
		"limits.most-tries":         float64(x.Limits.MostTries),
		"limits.second-copies":      false,
		"limits.may-tell":           len(x.Peer) > 0,
		"limits.probes":             x.Limits.Probes,
		"limits.cancel":             true,
		"limits.conn-idle-ms":       x.Times.NodeIdleMs,
		"limits.dial-timeout-ms":    x.Times.DialMs,
		"rules.answer-slack-ms":     x.Rules.AnswerSlackMs,
		"rules.stop-sending-ms":     x.Rules.GraceMs,
		"rules.cold-from":           x.Rules.ColdFrom,
		"rules.warm-up-ms":          x.Rules.WarmUpMs,
		"rules.fall-multiple":       x.Rules.FallMultiple,
		"rules.fall-ms":             x.Rules.FallMs,
		"prices.cross-zone":         x.Prices.CrossZone,
		"rollout.allowance":         x.Rollout.Allowance,
		"rollout.counted-over-ms":   x.Rollout.CountedOverMs,
		"rollout.shielded":          float64(x.Rollout.Shielded),
		"rollout.forward-only":      x.Rollout.ForwardOnly,
		"rollout.gate-mode":         x.Rollout.Gate,
		"rollout.noes-needed":       max(1, float64(x.Rollout.BackVotes)),
		"rollout.on-votes":          float64(x.Rollout.OnVotes),
		"rollout.vote-ttl-ms":       x.Rollout.VoteTtlMs,
		"rollout.api-rate":          x.Rollout.VotesPerS,
		"rollout.metrics-period-ms": x.Rollout.TallyMs,
		"rollout.cap-scope":         strings.Replace(x.Rollout.CapScope, "each-operation", "each_class", 1),
		"rollout.bake-ms":           x.Rollout.SoakMs,
	}
	if x.Roster.Ask {
		s["discovery"] = "subscribe"
	}
	var caps, parts []float64
	for _, stage := range x.Rollout.Stage {
		caps, parts = append(caps, stage.Cap), append(parts, stage.Part)
	}
	s["rollout.most-shares"], s["rollout.stage-share"] = caps, parts
	var ops, tenants []balance.Settings
	for _, o := range x.Operation {
		ops = append(ops, balance.Settings{"name": o.Name, "slo-ms": o.SloMs, "limit-ms": o.LimitMs,
			"billed-value": o.BilledValue, "group": o.Group, "memory-ms": o.MemoryMs,
			"repeat": map[Repeat]string{Repeat_IDEMPOTENT: "idempotent", Repeat_FINGERPRINTED: "fingerprinted",
				Repeat_SIDE_EFFECTING: "side-effecting"}[o.Repeat]})
	}
	for _, t := range x.Tenant {
		tenants = append(tenants, balance.Settings{"name": t.Name, "quota-per-s": t.PerS})
	}
	s["operations"], s["tenants"] = ops, tenants
	return s
}

// Cores returns the number of instances of the decision module.
func (x *Settings) Cores() int { return max(1, int(x.Instance.Cores)) }

// InstanceSettings returns the settings of one instance of the decision module.
func (x *Settings) InstanceSettings(instance int) balance.Settings {
	s := x.ModuleSettings()
	if n := x.Cores(); n > 1 {
		s["instance"], s["instances"] = float64(instance), float64(n)
	}
	return s
}

// ZoneIndex returns the index of a zone in the order of the file, or -1.
func (x *Settings) ZoneIndex(name string) int {
	for i, z := range x.Zone {
		if z == name {
			return i
		}
	}
	return -1
}

// FindOperation returns the index of the first operation that matches a request, or -1. listener is the name of the
// listener that received the request.
func (x *Settings) FindOperation(listener, method, path string) int {
	for i, o := range x.Operation {
		if len(o.Listener) > 0 && !slices.Contains(o.Listener, listener) {
			continue
		}
		for _, m := range o.Match {
			if m.Method != "" && m.Method != method {
				continue
			}
			if prefix, wildcard := strings.CutSuffix(m.Path, "*"); wildcard && strings.HasPrefix(path, prefix) || m.Path == path {
				return i
			}
		}
	}
	return -1
}

// TenantIndex returns the index of a tenant in the order of the file, or 0 for an unknown one.
func (x *Settings) TenantIndex(name string) int {
	for i, t := range x.Tenant {
		if t.Name == name {
			return i
		}
	}
	return 0
}
