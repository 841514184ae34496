" Vim syntax of arrowcleat's settings; made by: arrowcleat syntax vim
if exists("b:current_syntax")
  finish
endif
setlocal iskeyword+=-
syntax keyword cleatStatement let define use include
syntax keyword cleatSetting address allowance answer answer-slack ask back-votes billed-value body cap cap-scope cold-from connections conveyor cores cost cross-zone dial fall fall-multiple file form forward-only gate grace group header headers held-answer idle idle-per-node invocations key level limits line listen listener listeners log mark marshal marshals match memory method metrics models most most-tries name node-idle number on-votes open operation part path peer peers pool prices probe-path probes queue quota reconnect reconnect-most record release repeat repeat-body retry roster rules seed shielded slo-time soak stage stop tally-every tenant time time-limit times turned-away vote-timeout vote-ttl votes warm-up window worth-by write zone zones
syntax keyword cleatWord fingerprinted idempotent off on side-effecting
syntax match cleatFigure /\<[0-9][0-9.]*\(\/min\|KiB\|min\|\/s\|GiB\|MiB\|kB\|us\|ms\|MB\|GB\|B\|%\|h\|s\)\?\>\?/
syntax match cleatVar /\$[A-Za-z][A-Za-z0-9-]*/
syntax region cleatString start=/"/ skip=/\\./ end=/"/ oneline
syntax match cleatComment /#.*$/
highlight default link cleatStatement Keyword
highlight default link cleatSetting Identifier
highlight default link cleatWord Constant
highlight default link cleatFigure Number
highlight default link cleatVar PreProc
highlight default link cleatString String
highlight default link cleatComment Comment
let b:current_syntax = "cleat"
