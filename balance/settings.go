package balance

import (
	"math"
	"slices"
)

// The settings as the module reads them. docs/settings.md lists their names.

// config holds settings that are needed for each invocation, read once.
type config struct {
	// initialCapacityShare is the share of its capacity that a node has when it starts.
	initialCapacityShare, warmUpMs, warmUpWindowMs, warmUpWorkMultiple float64
	exposureWindowMs, exposureAllowance, crossZonePrice, connIdleMs    float64
	shieldedStages                                                     float64
	maxTries, zone                                                     int
	forwardOnly, worthByWork, capPerOperation                          bool
	firstStageCap                                                      float64 // cap for a build without a stage update
	marshalNumber, instance, instances                                 float64 // instance is its number within the marshal
}

// operation holds the settings of one operation.
type operation struct {
	repeatPolicy, repeatGroup    string
	memoryMs, sloMs, billedValue float64
}

// readConfig reads the settings that are needed for each invocation.
func readConfig(settings Settings) config {
	return config{
		initialCapacityShare: settings.number("rules.cold-from", 0.1),
		warmUpMs:             settings.number("rules.warm-up-ms", 10000),
		warmUpWindowMs:       settings.number("rules.fall-ms", 2000),
		warmUpWorkMultiple:   settings.number("rules.fall-multiple", 1),
		exposureWindowMs:     settings.number("rollout.counted-over-ms", 0),
		exposureAllowance:    settings.number("rollout.allowance", 0),
		crossZonePrice:       settings.number("prices.cross-zone", 0),
		connIdleMs:           settings.number("limits.conn-idle-ms", 10000),
		shieldedStages:       settings.number("rollout.shielded", math.Inf(1)),
		maxTries:             int(settings.number("limits.most-tries", 1)),
		zone:                 int(settings.number("zone", 0)),
		forwardOnly:          settings.enabled("rollout.forward-only"),
		worthByWork:          settings.text("worth-by", "") == "work",
		capPerOperation:      settings.text("rollout.cap-scope", "each_class") == "each_class",
		firstStageCap:        append(slices.Clone(settings.numbers("rollout.most-shares")), 0)[0],
		marshalNumber:        settings.number("number", 0),
		instance:             settings.number("instance", 0),
		instances:            settings.number("instances", 1),
	}
}

// readOperations reads the settings of the operations.
func readOperations(settings Settings) (operations []operation) {
	for _, o := range settings.children("operations") {
		operations = append(operations, operation{o.text("repeat", ""), o.text("group", ""), o.number("memory-ms", 0),
			o.number("slo-ms", 0), o.number("billed-value", 1)})
	}
	return operations
}

func (s Settings) number(name string, fallback float64) float64 {
	if v, ok := s[name].(float64); ok {
		return v
	}
	return fallback
}

func (s Settings) text(name, fallback string) string {
	if v, ok := s[name].(string); ok {
		return v
	}
	return fallback
}

func (s Settings) enabled(name string) bool {
	v, _ := s[name].(bool)
	return v
}

func (s Settings) numbers(name string) []float64 {
	v, _ := s[name].([]float64)
	return v
}

func (s Settings) children(name string) []Settings {
	v, _ := s[name].([]Settings)
	return v
}
