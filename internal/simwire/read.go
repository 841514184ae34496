package simwire

import (
	"strconv"

	"github.com/tidwall/gjson"

	"arrowcleat/balance"
)

// event reads the fields of one JSON object. Its readers panic with an inputError if a field is missing or of a wrong
// type.
type event struct{ gjson.Result }

// required returns a field of type t; expected describes the type in the error.
func (e event) required(name string, t gjson.Type, expected string) gjson.Result {
	v := e.Get(name)
	if !v.Exists() || v.Type == gjson.Null {
		panic(inputError("field " + name + ": missing"))
	}
	if v.Type != t {
		panic(inputError("field " + name + ": not " + expected))
	}
	return v
}

// has reports whether a field is present and not null.
func (e event) has(name string) bool {
	v := e.Get(name)
	return v.Exists() && v.Type != gjson.Null
}

func (e event) text(name string) string { return e.required(name, gjson.String, "a string").Str }
func (e event) num(name string) float64 { return e.required(name, gjson.Number, "a number").Num }

// ms returns a field in seconds as ms.
func (e event) ms(name string) float64 { return e.num(name) * 1000 }

func (e event) int64(name string) int64 {
	v, err := strconv.ParseInt(e.required(name, gjson.Number, "a whole number").Raw, 10, 64)
	if err != nil {
		panic(inputError("field " + name + ": not a whole number"))
	}
	return v
}

// seed returns a field with any 64-bit value, signed or not.
func (e event) seed(name string) uint64 {
	raw := e.required(name, gjson.Number, "a whole number").Raw
	if v, err := strconv.ParseUint(raw, 10, 64); err == nil {
		return v
	}
	return uint64(e.int64(name))
}

func (e event) integer(name string) int {
	v := e.required(name, gjson.Number, "a whole number")
	if n := int(v.Num); float64(n) == v.Num {
		return n
	}
	panic(inputError("field " + name + ": not a whole number"))
}

func (e event) node() uint32 {
	v, err := strconv.ParseUint(e.required("node", gjson.Number, "a number").Raw, 10, 32)
	if err != nil {
		panic(inputError("field node: not a number below 2^32"))
	}
	return uint32(v)
}

func (e event) bool(name string) bool {
	v := e.Get(name)
	if !v.Exists() || v.Type == gjson.Null {
		panic(inputError("field " + name + ": missing"))
	}
	if !v.IsBool() {
		panic(inputError("field " + name + ": not true or false"))
	}
	return v.Type == gjson.True
}

func (e event) list(name string) gjson.Result {
	v := e.required(name, gjson.JSON, "a list")
	if !v.IsArray() {
		panic(inputError("field " + name + ": not a list"))
	}
	return v
}

func (e event) object(name string) gjson.Result {
	v := e.required(name, gjson.JSON, "an object")
	if !v.IsObject() {
		panic(inputError("field " + name + ": not an object"))
	}
	return v
}

// optInteger and the other opt readers return a default for an absent or null field.
func (e event) optInteger(name string) int {
	if !e.has(name) {
		return 0
	}
	return e.integer(name)
}

func (e event) optText(name string) string {
	if !e.has(name) {
		return ""
	}
	return e.text(name)
}

func (e event) optNum(name string, absent float64) float64 {
	if !e.has(name) {
		return absent
	}
	return e.num(name)
}

func (e event) optMS(name string) float64 { return e.optNum(name, 0) * 1000 }

func (e event) optBool(name string) bool { return e.has(name) && e.bool(name) }

// reportNames maps the protocol's names of the values of a load report to those of balance.
var reportNames = map[string]string{"concurrent": "held", "depth": "waiting", "load_share": "busy",
	"mean_ms": "service-ms", "tps": "rate", "err_ps": "errors"}

// loadReport returns a node's load report under the names that balance uses, without unknown values; nil if there is none.
func (e event) loadReport() map[string]float64 {
	if !e.has("feedback") {
		return nil
	}
	report := map[string]float64{}
	e.object("feedback").ForEach(func(k, v gjson.Result) bool {
		if name, known := reportNames[k.Str]; known && v.Type == gjson.Number {
			report[name] = v.Num
		}
		return true
	})
	return report
}

// outcomes maps the protocol's words for how a call ended.
var outcomes = map[string]balance.Outcome{"Ok": balance.Succeeded, "Failed": balance.Failed,
	"QueueFull": balance.Rejected, "TimedOut": balance.TimedOut, "ConnectError": balance.ConnectFailed,
	"ResetByPeer": balance.ConnectionReset, "Canceled": balance.Canceled, "Ignored": balance.Ignored}

func (e event) outcome() balance.Outcome {
	word := e.text("ending")
	v, known := outcomes[word]
	if !known {
		panic(inputError("field ending: unknown word " + strconv.Quote(word)))
	}
	return v
}
