package lang

import (
	"fmt"
	"slices"
	"strings"
)

// explanations say more of each code. A code keeps its meaning for good.
var explanations = map[string]string{
	"AC001": "A file is larger than 4 MiB. Split it, and include the parts.",
	"AC002": "A byte that is no text: not UTF-8, or a control character other than tab and line end. A byte-order mark at the begin is let pass.",
	"AC003": "A string that begins with \" ends with \" on the same line.",
	"AC004": "In a string, \\ stands before \" or \\ only.",
	"AC005": "Blocks stand in blocks at most 40 deep.",
	"AC006": "Every { has its }. The place is that of the brace that has no other.",
	"AC007": "A statement is a name, then its values, then perhaps a block, on one line: name value ... { ... }. A ; also ends it.",
	"AC008": "$ stands before the name of a value that let defines, or of a parameter.",
	"AC009": "A file, with all that it includes, holds no statement.",
	"AC101": "Files include each other in a circle, through links also. An include names what is needed once, from above.",
	"AC102": "A file is included by two ways. Its settings would count twice.",
	"AC103": "A file that is named, or included, can't be read, or no file matches a pattern. Names start from the folder of the file that includes.",
	"AC104": "include \"FILE\" or include \"folder/*.cleat\", outside of blocks.",
	"AC105": "let NAME VALUE..., define NAME PARAMETER... { ... }, use NAME VALUE...",
	"AC106": "A name is defined twice, perhaps in another file.",
	"AC107": "A name leads nowhere: nothing of that name is defined in any of the files.",
	"AC108": "A named value, or a block, is made of itself.",
	"AC109": "A block is used with as many values as it has parameters.",
	"AC110": "A warning: something is defined and used nowhere.",
	"AC201": "There is no setting of that name at this place. docs/language.md lists what stands where.",
	"AC202": "A setting is a value or a block, and this is the other.",
	"AC203": "A setting has another number of values, or they stand in another order.",
	"AC204": "A setting that may stand once stands twice.",
	"AC205": "A setting takes one of a few words, and this is none of them.",
	"AC206": "A figure is expected, and this is none, or not a whole one.",
	"AC207": "A figure without a unit. A unit is part of a time (ms, s, min, h, us), a size (B, KiB, MiB, GiB, kB, MB, GB), a share (%) and a rate (/s, /min).",
	"AC208": "A figure with a unit that its setting does not have. m is none: it could be minutes or milliseconds.",
	"AC209": "A share lies between 0% and 100%.",
	"AC301": "A setting that has no default is missing.",
	"AC302": "A figure is less than can be meant.",
	"AC303": "A figure is more than can be meant.",
	"AC304": "A setting takes one of a few words, and this is none of them.",
	"AC305": "An address is host:port, its port a number from 0 to 65535, its host not left out.",
	"AC306": "Two things that need different names have the same.",
	"AC307": "A name or number leads nowhere among those of the file.",
	"AC308": "Two settings don't go together: a time limit under its SLO time, a cap under that of the stage before, a path that is none.",
	"AC401": "A warning: a match that comes after one which already takes all that it would.",
	"AC402": "A warning: nodes drop repeats for less than the time limit, so that a repeat late in it is not allowed.",
	"AC405": "A warning: no stage is shielded, and nobody said so, so that operations with an effect go to a build from its first stage on.",
	"AC404": "A pool is described and no operation goes there.",
	"AC403": "A warning: a rule would be hard, or impossible, to keep with these settings.",
}

// Explain says more of a code.
func Explain(code string) (string, error) {
	text, ok := explanations[strings.ToUpper(code)]
	if !ok {
		var all []string
		for c := range explanations {
			all = append(all, c)
		}
		slices.Sort(all)
		return "", fmt.Errorf("no code is called %s; there are %s", code, strings.Join(all, " "))
	}
	return strings.ToUpper(code) + "\n" + text, nil
}
