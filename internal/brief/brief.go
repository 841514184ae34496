// Package brief decodes the settings object that an instance is given, by the simulator in its first message and by the
// platform in its configuration, into the module's plain map.
package brief

import (
	"strings"

	"github.com/tidwall/gjson"

	"arrowcleat/balance"
)

// The wire's names and words of settings that this project calls otherwise.
var names = map[string]string{"request-classes": "operations", "aim-s": "slo-s", "deadline-s": "limit-s",
	"points": "billed-value", "domain": "rollout", "balancers": "marshals", "me": "number",
	"locality": "zone", "window-s": "memory-s", "aim-stretch": "slo-stretch"}
var words = map[string]string{"free": "idempotent", "guarded": "fingerprinted",
	"single_shot": "side-effecting", "first_voice": "any", "by_count": "count", "automatic": "clock"}

// Decode flattens objects to names with dots and turns times into milliseconds.
func Decode(config gjson.Result) balance.Settings {
	s := balance.Settings{}
	flatten(s, "", config)
	return s
}

func flatten(s balance.Settings, prefix string, object gjson.Result) {
	object.ForEach(func(k, v gjson.Result) bool {
		name := k.Str
		if ours, ok := names[name]; ok {
			name = ours
		}
		scale := 1.0
		if base, ok := strings.CutSuffix(name, "-s"); ok && !strings.HasSuffix(base, "per") {
			name, scale = base+"-ms", 1000
		}
		name = prefix + name
		switch {
		case v.Type == gjson.Number:
			s[name] = v.Num * scale
		case v.IsBool():
			s[name] = v.Bool()
		case v.Type == gjson.String:
			s[name] = v.Str
			if ours, ok := words[v.Str]; ok && k.Str != "name" && k.Str != "discovery" {
				s[name] = ours
			} else if k.Str == "discovery" {
				s[name] = v.Str
			}
		case v.IsObject():
			flatten(s, name+".", v)
		case v.IsArray():
			s[name] = items(v, scale)
		}
		return true
	})
}

func items(array gjson.Result, scale float64) any {
	var objects []balance.Settings
	var numbers []float64
	var texts []string
	array.ForEach(func(_, v gjson.Result) bool {
		switch {
		case v.IsObject():
			objects = append(objects, Decode(v))
		case v.Type == gjson.Number:
			numbers = append(numbers, v.Num*scale)
		case v.Type == gjson.String:
			texts = append(texts, v.Str)
		}
		return true
	})
	switch {
	case objects != nil:
		return objects
	case numbers != nil:
		return numbers
	}
	return texts
}
