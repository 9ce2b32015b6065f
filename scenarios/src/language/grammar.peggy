// Grammar of the scenario language: one step per line, `#` starts a comment.

script = lines:line|.., eol| { return lines.filter((it) => it !== null); }

line = _ step:step? _ comment? {
  return step ? { line: location().start.line, ...step } : null;
}

step "a step"
  = fleet / let / start / chat / post / end / kill / freeze / thaw / restart
  / drain / cut / heal / store / fault / list / edit / wait / await
  / expect

fleet = "fleet of" _ daemons:integer _ "daemons in" _ dataCentres:integer _
  "data centres," _ engines:integer _ "engines," _ services:integer _
  "services" copies:tailCopies? {
  return { kind: "fleet", daemons, dataCentres, engines, services,
    tailCopies: copies ?? 3 };
}
tailCopies = _ "with" _ count:integer _ "tail copies" { return count; }

let = "let" _ name:name _ "be" _ host:host {
  return { kind: "let", name, host };
}

start = "start" _ program:name _ "by" _ caller:name
  budget:(_ "budget" _ it:integer { return it; })?
  parent:(_ "under" _ it:name { return it; })? {
  return { kind: "start", program, caller, budget, parent };
}

chat = "chat" _ program:name _ text:string streamed:(_ "streamed")?
  label:label? {
  return { kind: "chat", program, text, streamed: streamed !== null, label };
}

post = "post" _ program:name _ route:name label:label? {
  return { kind: "post", program, route, label };
}

label = _ "as" _ name:name { return name; }

end = "end" _ program:name { return { kind: "end", program }; }

kill = "kill" _ host:host { return { kind: "signal", signal: "SIGKILL", host }; }
freeze = "freeze" _ host:host { return { kind: "signal", signal: "SIGSTOP", host }; }
thaw = "thaw" _ host:host { return { kind: "signal", signal: "SIGCONT", host }; }
restart = "restart" _ host:host { return { kind: "restart", host }; }
drain = "drain" _ host:host label:label? { return { kind: "drain", host, label }; }

cut = "cut" _ host:host _ "from" _ other:host { return { kind: "cut", host, other }; }
heal = "heal" _ "all" { return { kind: "heal" }; }

store = "store" _ state:storeState { return { kind: "store", faults: state }; }
storeState
  = "down" { return { down: true }; }
  / "up" { return { down: false, slowMs: 0, loseAnswerShare: 0 }; }
  / "slow" _ ms:duration { return { slowMs: ms }; }
  / "loses" _ share:number _ "of answers" { return { loseAnswerShare: share }; }

fault = "fault" _ name:name _ json:json { return { kind: "fault", name, faults: json }; }

list = "list" _ name:name _ state:("leaving" / "live") {
  return { kind: "list", name, state };
}

edit = "edit" _ row:rowId _ column:name "=" value:cell at:(_ "at" _ it:host { return it; })?
  label:label? {
  return { kind: "edit", row, column, value, at, label };
}

wait = "wait" _ ms:duration { return { kind: "wait", ms }; }
await = "await" _ name:name { return { kind: "await", name }; }

expect = "expect" _ it:expectation { return it; }
expectation
  = "owner of" _ program:name _ "is not" _ name:name {
      return { kind: "expect_owner_not", program, name };
    }
  / "executions of" _ route:name _ "is" _ count:integer {
      return { kind: "expect_executions", route, count };
    }
  / "the table in force within" _ ms:duration {
      return { kind: "expect_table", ms };
    }
  / "memory of" _ program:name _ "released within" _ ms:duration {
      return { kind: "expect_released", program, ms };
    }
  / "calls to the store at most" _ count:integer _ "a second" {
      return { kind: "expect_store_rate", count };
    }
  / "at least" _ count:integer _ "of" _ prefix:name _ "running" {
      return { kind: "expect_running", count, prefix };
    }
  / "at most" _ count:integer _ "calls on engines" {
      return { kind: "expect_calls", count };
    }
  / "no new work on" _ name:name _ "within" _ ms:duration {
      return { kind: "expect_no_work", name, ms };
    }
  / name:name _ outcome:outcome within:(_ "within" _ it:duration { return it; })? {
      return { kind: "expect_outcome", name, outcome, within };
    }
outcome "an outcome" = "answered" / "not_run" / "may_have_run" / "refused" / "accepted"

host "a host"
  = "owner of" _ program:name { return { by: "owner", program }; }
  / "holder of" _ program:name { return { by: "holder", program }; }
  / name:name { return { by: "name", name }; }

rowId "a row id such as caller/alice" = $([a-z]+ "/" [a-zA-Z0-9_.-]+)
name "a name" = $([a-zA-Z] [a-zA-Z0-9_.-]*)
string "a quoted string" = "\"" text:$[^"\n]* "\"" { return text; }
cell "a value" = string / $[^ \t\n#]+
integer "an integer" = digits:$[0-9]+ { return Number(digits); }
number "a number" = digits:$([0-9]+ ("." [0-9]+)?) { return Number(digits); }
duration "a duration such as 5 s or 300 ms"
  = count:number _ unit:("ms" / "s") { return unit === "s" ? count * 1000 : count; }
json "a JSON object" = text:$("{" [^}\n]* "}") { return JSON.parse(text); }
comment = "#" [^\n]*
eol = "\n"
_ = [ \t]*
