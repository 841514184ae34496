package lang

import (
	"fmt"
	"slices"
	"strings"
)

// explanations describes each diagnostic code. A code never changes its meaning.
var explanations = map[string]string{
	"AC001": "A file is larger than 4 MiB. Split it, and include the parts.",
	"AC002": "The file contains invalid UTF-8, or a control character other than tab and line end. A byte-order mark at the start is accepted.",
	"AC003": "A string is not terminated. A string that begins with \" must end with \" on the same line.",
	"AC004": "An invalid escape sequence. In a string, \\ may only be followed by \" or \\.",
	"AC005": "Blocks are nested too deeply. The limit is 40 levels.",
	"AC006": "Braces are unbalanced. The position is that of the brace without a counterpart.",
	"AC007": "A statement does not begin with a name. A statement is a name, its values and an optional block, on one line: name value ... { ... }. A ; also ends it.",
	"AC008": "$ is not followed by a name. It must be followed by the name of a parameter, or of a value that let defines.",
	"AC009": "A file and the files that it includes contain no statement.",
	"AC101": "Files include each other in a cycle, possibly through symbolic links. Include each file once, from the file above it.",
	"AC102": "A file is included twice. Its settings would be applied twice.",
	"AC103": "A named or included file can't be read, or no file matches a pattern. Names are relative to the folder of the including file.",
	"AC104": "An include is malformed or inside a block. Write include \"FILE\" or include \"folder/*.cleat\", outside of blocks.",
	"AC105": "A let, define or use is malformed. Write let NAME VALUE..., define NAME PARAMETER... { ... }, use NAME VALUE...",
	"AC106": "A name is defined twice, perhaps in another file.",
	"AC107": "A name is not defined in any of the files.",
	"AC108": "A named value or a block is defined in terms of itself.",
	"AC109": "A block is used with the wrong number of values. It takes one for each of its parameters.",
	"AC110": "A warning: a name is defined but never used.",
	"AC201": "There is no setting of that name in this block. docs/language.md lists the settings of each block.",
	"AC202": "A setting that takes a value has a block, or one that takes a block has none.",
	"AC203": "A setting has the wrong number of values, or they are in the wrong order.",
	"AC204": "A setting that may be set only once is set twice.",
	"AC205": "A value is not one of the words that its setting accepts.",
	"AC206": "A value is not a number, or not a whole number where one is required.",
	"AC207": "A number has no unit. A unit is required for a time (ms, s, min, h, us), a size (B, KiB, MiB, GiB, kB, MB, GB), a share (%) and a rate (/s, /min).",
	"AC208": "A number has a unit that its setting does not accept. m is not accepted, as it could mean minutes or milliseconds.",
	"AC209": "A share is outside the range from 0% to 100%.",
	"AC301": "A required setting is missing: it has no default.",
	"AC302": "A number is below the minimum of its setting.",
	"AC303": "A number is above the maximum of its setting.",
	"AC304": "A value is not one of the words that its setting accepts.",
	"AC305": "An address is malformed. Write host:port, with a host and a port number from 0 to 65535.",
	"AC306": "Two items that need different names or numbers have the same.",
	"AC307": "A name or number refers to nothing in the files.",
	"AC308": "A setting is invalid, or contradicts another: a time limit below the SLO time, a cap below that of the previous stage, a malformed path.",
	"AC401": "A warning: a match is never reached, as an earlier one matches the same requests.",
	"AC402": "A warning: nodes detect repeats for less than the time limit, so that a repeat late in that time is not allowed.",
	"AC405": "A warning: shielded is not set, so that operations that are not idempotent go to a build from its first stage on.",
	"AC404": "A pool is defined but no operation uses it.",
	"AC403": "A warning: a rule would be hard or impossible to keep with these settings.",
}

// Explain returns the description of a diagnostic code. Upper and lower case are treated alike.
func Explain(code string) (string, error) {
	text, ok := explanations[strings.ToUpper(code)]
	if !ok {
		var all []string
		for c := range explanations {
			all = append(all, c)
		}
		slices.Sort(all)
		return "", fmt.Errorf("unknown code %s; the codes are %s", code, strings.Join(all, " "))
	}
	return strings.ToUpper(code) + "\n" + text, nil
}
