// Package brief decodes the settings object of an instance, which the simulator sends in its first message and the
// platform has in its configuration, into the flat map of the decision module.
package brief

import (
	"strings"

	"github.com/tidwall/gjson"

	"arrowcleat/balance"
)

// settingNames maps names of settings on the wire to those of package balance, where they differ.
var settingNames = map[string]string{"request-classes": "operations", "aim-s": "slo-s", "deadline-s": "limit-s",
	"points": "billed-value", "domain": "rollout", "balancers": "marshals", "me": "number",
	"locality": "zone", "window-s": "memory-s", "aim-stretch": "slo-stretch"}

// settingValues maps values of settings on the wire to those of package balance, where they differ.
var settingValues = map[string]string{"free": "idempotent", "guarded": "fingerprinted",
	"single_shot": "side-effecting", "first_voice": "any", "by_count": "count", "automatic": "clock"}

// Decode flattens nested objects to dotted names and converts times from seconds to milliseconds.
func Decode(config gjson.Result) balance.Settings {
	s := balance.Settings{}
	flatten(s, "", config)
	return s
}

// flatten adds the fields of an object to s, with the prefix before their names.
func flatten(s balance.Settings, prefix string, object gjson.Result) {
	object.ForEach(func(k, v gjson.Result) bool {
		name := k.Str
		if mapped, ok := settingNames[name]; ok {
			name = mapped
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
			if mapped, ok := settingValues[v.Str]; ok && k.Str != "name" && k.Str != "discovery" {
				s[name] = mapped
			} else if k.Str == "discovery" {
				s[name] = v.Str
			}
		case v.IsObject():
			flatten(s, name+".", v)
		case v.IsArray():
			s[name] = elements(v, scale)
		}
		return true
	})
}

// elements converts an array of objects, numbers or strings. Numbers are multiplied by scale.
func elements(array gjson.Result, scale float64) any {
	var objects []balance.Settings
	var numbers []float64
	var strs []string
	array.ForEach(func(_, v gjson.Result) bool {
		switch {
		case v.IsObject():
			objects = append(objects, Decode(v))
		case v.Type == gjson.Number:
			numbers = append(numbers, v.Num*scale)
		case v.Type == gjson.String:
			strs = append(strs, v.Str)
		}
		return true
	})
	switch {
	case objects != nil:
		return objects
	case numbers != nil:
		return numbers
	}
	return strs
}
