#!/usr/bin/env python3
"""Breaks the ledger of works, and what it stands on, by one line at a time, in a copy of the sources, and tells which tests
notice: its own, the exhaustive search, or many gateways in virtual time. Usage: bench/ledger_mutations.py [--jobs N]"""
import core_mutations

BOOK, DESK, CORE, POLICY = "src/ledger/book.cpp", "src/fleet/node_agent.cpp", "src/core/gateway_core.cpp", "src/policy/balance.cpp"
MUTATIONS = [
    ("sent before its intent is durable", BOOK,
     "  SendFor(now, w, Phase::kIntending, shared::Commit(std::move(batch)), out);\n}",
     "  SendFor(now, w, Phase::kIntending, shared::Commit(std::move(batch)), out);\n"
     "  out->push_back(IntentTold{w->request, w->intending, true});\n}"),
    ("claimed without compare", BOOK, "  batch.conditions.push_back({Key(w.asked.work), w.version});\n", ""),
    ("its place not checked", BOOK, "  batch.conditions.push_back(right.condition);\n", ""),
    ("owner not looked for", BOOK, "if (BootIn(entry.value) == w->record.boot) return Wait(now, w);", ""),
    ("charged twice", BOOK, "    prior.charged = w->record.charged;\n", ""),
    ("what may have run forgotten", BOOK, "      prior.may_have_run = true;\n", ""),
    ("age from the claim and not the intent", BOOK, "  for (Intent& i : record->intents) i.age_s += gone;\n  w->record = *record;",
     "  for (Intent& i : record->intents) i.age_s = 0;\n  w->record = *record;"),
    ("may have been done taken for not done", BOOK,
     "if (reply.fault == Fault::kConflict || reply.outcome == Outcome::kMaybeDone) {\n    return SendFor(now, w, Phase::kChecking",
     "if (reply.fault == Fault::kConflict) {\n    return SendFor(now, w, Phase::kChecking"),
    ("uncertain unsafe work left to whoever asks", BOOK,
     "bool done = status == 200 || (ran && w->asked.effect == Effect::kUnsafe);", "bool done = status == 200;"),
    ("an outcome that was not taken is given up", BOOK,
     "  w->version = entry.version;  // an intent that came late, or this gateway's place under a new fence\n  WriteEnd(now, w, out);",
     "  Forget(w);"),
    ("its answer never recorded", BOOK, "  SendFor(now, w, Phase::kEnding, shared::Commit(std::move(batch)), out);\n", "  Forget(w);\n"),
    ("another body let in", BOOK, "if (record->body != w->asked.body) {", "if (false) {"),
    ("who lost its work goes on", BOOK, "  out->push_back(Withdraw{w->asked.client});\n  out->push_back(IntentTold{w->request, std::exchange(w->intending, -1), false});",
     "  out->push_back(IntentTold{w->request, std::exchange(w->intending, -1), true});"),
    ("attempts wait for no word", CORE, "  if (held->recorded) {\n    held->attempts.back().intended = true;", "  if (false) {\n    held->attempts.back().intended = true;"),
    ("a resumed unsafe work is sent again", POLICY, "if (c.effect == Effect::kSingleShot) return false;", ""),
]
SUITES = [("own", "ledger_tests", "Book.*:Record.*"), ("search", "ledger_tests", "Search.U*"),
          ("virtual time", "rehearsal_tests", "Works.*")]

if __name__ == "__main__":
    core_mutations.play(MUTATIONS, SUITES, __doc__)
