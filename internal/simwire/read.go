package simwire

import (
	"strconv"

	"github.com/tidwall/gjson"

	"arrowcleat/balance"
)

// event reads the fields of one object; a field that is missing or of a wrong type is a fault.
type event struct{ gjson.Result }

func (e event) required(name string, t gjson.Type, what string) gjson.Result {
	v := e.Get(name)
	if !v.Exists() || v.Type == gjson.Null {
		panic(inputError("field " + name + ": missing"))
	}
	if v.Type != t {
		panic(inputError("field " + name + ": not " + what))
	}
	return v
}

func (e event) has(name string) bool {
	v := e.Get(name)
	return v.Exists() && v.Type != gjson.Null
}

func (e event) text(name string) string { return e.required(name, gjson.String, "a string").Str }
func (e event) num(name string) float64 { return e.required(name, gjson.Number, "a number").Num }
func (e event) ms(name string) float64  { return e.num(name) * 1000 }

func (e event) int64(name string) int64 {
	v, err := strconv.ParseInt(e.required(name, gjson.Number, "a whole number").Raw, 10, 64)
	if err != nil {
		panic(inputError("field " + name + ": not a whole number"))
	}
	return v
}

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

// The opt readers take an absent or null field as nothing told.
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

// The wire's names of what a node reports.
var reportNames = map[string]string{"concurrent": "held", "depth": "waiting", "load_share": "busy",
	"mean_ms": "service-ms", "tps": "rate", "err_ps": "errors"}

// loadReport is a node's report under the names of this project; values that are not known are skipped.
func (e event) loadReport() map[string]float64 {
	if !e.has("feedback") {
		return nil
	}
	report := map[string]float64{}
	e.object("feedback").ForEach(func(k, v gjson.Result) bool {
		if ours, known := reportNames[k.Str]; known && v.Type == gjson.Number {
			report[ours] = v.Num
		}
		return true
	})
	return report
}

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
