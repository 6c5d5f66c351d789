#include "rehearsal/report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <unordered_map>

namespace ivygw::rehearsal {

using eventlog::Event;
using eventlog::EventKind;
using nlohmann::json;

namespace {

json ServiceToJson(const checker::Service& s) {
  return {{"name", s.name},
          {"from_s", s.from_s},
          {"to_s", s.to_s},
          {"asked", s.asked},
          {"first_tries", s.chains},
          {"served", s.served},
          {"refused", s.refused},
          {"failed", s.failed},
          {"unanswered", s.unanswered},
          {"service", s.Share()},
          {"mean_s", s.mean_s},
          {"p50_s", s.p50_s},
          {"p99_s", s.p99_s},
          {"most_over_units", s.most_over_units}};
}

double At(std::vector<double>* list, double share) {
  if (list->empty()) return 0;
  size_t i = std::min(list->size() - 1, static_cast<size_t>(share * static_cast<double>(list->size())));
  std::nth_element(list->begin(), list->begin() + static_cast<long>(i), list->end());
  return (*list)[i];
}

// Series by the second (or longer, so that there are at most 600 points).
// NOLINTNEXTLINE(readability-function-size): to be split with its package, as docs/ROADMAP.md lists.
json Series(const eventlog::Record& record) {
  double step = std::max(0.5, record.facts.duration_s / 600);
  size_t n = static_cast<size_t>(std::ceil(record.facts.duration_s / step));
  auto slot = [&](double t) { return std::min(n - 1, static_cast<size_t>(std::max(0.0, t / step))); };
  std::vector<double> asked(n), served(n), refused(n), failed(n), lost(n), p50(n), p99(n);
  std::vector<std::vector<double>> took(n);
  std::vector<std::vector<double>> units(record.facts.plans.size(), std::vector<double>(n));
  std::map<int, std::vector<double>> load;
  std::map<int, std::string> names;
  json bands = json::array();
  std::unordered_map<uint64_t, const Event*> asks;
  std::unordered_map<uint64_t, bool> sent;
  std::map<std::string, double> began;
  for (const Event& e : record.events) {
    switch (e.kind) {
      case EventKind::kAsk:
        asks[e.request] = &e;
        asked[slot(e.t)] += 1 / step;
        break;
      case EventKind::kAnswer: {
        auto it = asks.find(e.request);
        if (it == asks.end()) break;
        bool turned = e.status == 429 || e.status == 503;
        (e.status == 200 ? served : turned ? refused : failed)[slot(e.t)] += 1 / step;
        if (e.status == 200) took[slot(it->second->due)].push_back(e.t - it->second->due);
        break;
      }
      case EventKind::kEnded:
      case EventKind::kGaveUp:
      case EventKind::kNotTaken: lost[slot(e.t)] += 1 / step; break;
      case EventKind::kArrive: {
        auto it = asks.find(e.request);
        if (it == asks.end() || sent[e.request]) break;
        sent[e.request] = true;
        units[static_cast<size_t>(it->second->plan)][slot(e.t)] += e.units / step;
        break;
      }
      case EventKind::kNodeUp: names[e.node] = e.text; break;
      case EventKind::kLoad: {
        auto& line = load.try_emplace(e.node, n, 0.0).first->second;
        line[slot(e.t)] = std::max(line[slot(e.t)], e.units + e.work);
        break;
      }
      case EventKind::kFault:
        if (e.flag) {
          began[e.text] = e.t;
        } else if (began.count(e.text) != 0) {
          bands.push_back(
              {{"name", e.text}, {"from", began[e.text]}, {"to", std::max(e.t, began[e.text] + step / 2)}});
          began.erase(e.text);
        }
        break;
      default: break;
    }
  }
  for (const auto& [name, from] : began) {
    bands.push_back({{"name", name}, {"from", from}, {"to", record.facts.duration_s}});
  }
  for (size_t i = 0; i < n; ++i) {
    p50[i] = At(&took[i], 0.5) * 1000;
    p99[i] = At(&took[i], 0.99) * 1000;
  }
  auto lines = [&](std::initializer_list<std::pair<const char*, const std::vector<double>*>> list) {
    json out = json::array();
    for (const auto& [name, values] : list) out.push_back({{"name", name}, {"values", *values}});
    return out;
  };
  json nodes = json::array(), plans = json::array();
  for (const auto& [node, values] : load) nodes.push_back({{"name", names[node]}, {"values", values}});
  for (size_t i = 0; i < units.size(); ++i) {
    plans.push_back({{"name", record.facts.plans[i].name}, {"values", units[i]}});
  }
  json plots = json::array();
  plots.push_back({{"title", "Tries and answers a second"},
                   {"lines", lines({{"asked", &asked},
                                    {"served", &served},
                                    {"refused", &refused},
                                    {"failed", &failed},
                                    {"not answered", &lost}})}});
  plots.push_back({{"title", "Served: time from the intended moment, ms"},
                   {"lines", lines({{"p50", &p50}, {"p99", &p99}})}});
  plots.push_back({{"title", "Requests held by each node"}, {"lines", nodes}});
  plots.push_back({{"title", "Units a second sent on, by plan"}, {"lines", plans}});
  return {{"step", step}, {"end", record.facts.duration_s}, {"bands", bands}, {"plots", plots}};
}

std::string Escaped(const std::string& text) {
  std::string out;
  for (char c : text) {
    switch (c) {
      case '<': out += "&lt;"; break;
      case '>': out += "&gt;"; break;
      case '&': out += "&amp;"; break;
      case '"': out += "&quot;"; break;
      default: out += c;
    }
  }
  return out;
}

constexpr const char* kScript = R"JS(
const colours=['#1f5fa8','#2a9d5c','#e08a1e','#c0392b','#7d3fa0','#0c8f9e','#8a6d1d','#555'];
const W=1000,H=220,L=54,B=24,T=10;
for(const plot of data.plots){
  const h=document.createElement('h2');h.textContent=plot.title;document.body.append(h);
  let top=0;for(const l of plot.lines)for(const v of l.values)top=Math.max(top,v);
  top=top||1;const x=t=>L+(W-L-8)*t/data.end,y=v=>T+(H-T-B)*(1-v/top);
  let s='';
  for(const [i,b] of data.bands.entries()){s+=`<rect x="${x(b.from)}" y="${T}" width="${Math.max(2,x(b.to)-x(b.from))}" height="${H-T-B}" fill="#c0392b" opacity="0.10"/><text x="${x(b.from)+3}" y="${T+11+11*(i%4)}" font-size="10" fill="#933">${b.name}</text>`;}
  for(let i=0;i<=4;i++){const v=top*i/4;s+=`<line x1="${L}" x2="${W-8}" y1="${y(v)}" y2="${y(v)}" stroke="#ddd"/><text x="${L-5}" y="${y(v)+4}" font-size="11" text-anchor="end">${v>=10?v.toFixed(0):v.toFixed(2)}</text>`;}
  for(let i=0;i<=10;i++){const t=data.end*i/10;s+=`<text x="${x(t)}" y="${H-6}" font-size="11" text-anchor="middle">${t.toFixed(data.end<20?1:0)} s</text>`;}
  plot.lines.forEach((l,i)=>{const c=plot.lines.length>8?`hsl(${i*360/plot.lines.length},60%,42%)`:colours[i%colours.length];
    s+=`<polyline fill="none" stroke="${c}" stroke-width="${plot.lines.length>8?0.8:1.6}" points="${l.values.map((v,k)=>x((k+0.5)*data.step).toFixed(1)+','+y(v).toFixed(1)).join(' ')}"><title>${l.name}</title></polyline>`;});
  const d=document.createElement('div');d.innerHTML=`<svg viewBox="0 0 ${W} ${H}">${s}</svg>`;document.body.append(d);
  if(plot.lines.length<=8){const p=document.createElement('p');p.innerHTML=plot.lines.map((l,i)=>`<span style="color:${colours[i]}">&#9632; ${l.name}</span>`).join(' &nbsp; ');document.body.append(p);}
}
)JS";

}  // namespace

bool Void(const checker::Verdict& verdict) { return verdict.late_p99_s > kMostLateS; }

json JsonReport(const eventlog::Record& record, const checker::Verdict& verdict) {
  json rules = json::object(), breaks = json::array(), phases = json::array(), plans = json::array();
  for (size_t i = 0; i < checker::kRules; ++i) {
    rules[checker::RuleName(static_cast<checker::Rule>(i))] = verdict.counts[i];
  }
  for (const auto& b : verdict.breaks) {
    breaks.push_back(
        {{"rule", checker::RuleName(b.rule)}, {"t", b.t}, {"request", b.request}, {"what", b.what}});
  }
  for (const auto& s : verdict.phases) phases.push_back(ServiceToJson(s));
  for (const auto& s : verdict.plans) plans.push_back(ServiceToJson(s));
  return {{"scenario", record.facts.scenario},
          {"mode", record.facts.mode},
          {"seed", record.facts.seed},
          {"gateways", record.facts.gateways},
          {"rules_kept", verdict.Kept()},
          {"void", Void(verdict)},
          {"breaks_by_rule", rules},
          {"breaks", breaks},
          {"whole", ServiceToJson(verdict.whole)},
          {"phases", phases},
          {"plans", plans},
          {"attempts", verdict.attempts},
          {"effects", verdict.effects},
          {"generator_late_p99_s", verdict.late_p99_s},
          {"generator_late_max_s", verdict.late_max_s},
          {"added_p50_s", verdict.added_p50_s},
          {"added_p99_s", verdict.added_p99_s},
          {"events", record.events.size()}};
}

std::string TextReport(const eventlog::Record& record, const checker::Verdict& verdict) {
  std::string out;
  char line[240];
  std::snprintf(line, sizeof(line), "%-28s %7s %7s %7s %7s %7s %8s %8s %8s\n", "phase", "asked", "served",
                "refused", "failed", "no answ", "service", "p50 ms", "p99 ms");
  out += line;
  auto row = [&](const checker::Service& s) {
    std::snprintf(line, sizeof(line), "%-28.28s %7llu %7llu %7llu %7llu %7llu %8.3f %8.1f %8.1f\n",
                  s.name.c_str(), static_cast<unsigned long long>(s.asked),
                  static_cast<unsigned long long>(s.served), static_cast<unsigned long long>(s.refused),
                  static_cast<unsigned long long>(s.failed), static_cast<unsigned long long>(s.unanswered),
                  s.Share(), s.p50_s * 1000, s.p99_s * 1000);
    out += line;
  };
  for (const auto& s : verdict.phases) row(s);
  for (const auto& s : verdict.plans) row(s);
  row(verdict.whole);
  std::snprintf(line, sizeof(line), "load generator late: p99 %.2f ms, most %.2f ms%s\n",
                verdict.late_p99_s * 1000, verdict.late_max_s * 1000,
                Void(verdict) ? " -- TOO LATE, the run is void" : "");
  out += line;
  std::snprintf(line, sizeof(line),
                "added by the gateways, served at the first attempt: p50 %.3f ms, p99 %.3f ms\n",
                verdict.added_p50_s * 1000, verdict.added_p99_s * 1000);
  out += line;
  for (size_t i = 0; i < checker::kRules; ++i) {
    std::snprintf(
        line, sizeof(line), "rule %-26s %s\n", checker::RuleName(static_cast<checker::Rule>(i)),
        verdict.counts[i] == 0 ? "kept" : ("BROKEN " + std::to_string(verdict.counts[i]) + " times").c_str());
    out += line;
  }
  for (const auto& b : verdict.breaks) {
    std::snprintf(line, sizeof(line), "  %9.3f s  %s: %s (request %llu)\n", b.t, checker::RuleName(b.rule),
                  b.what.c_str(), static_cast<unsigned long long>(b.request));
    out += line;
  }
  (void)record;
  return out;
}

std::string HtmlReport(const eventlog::Record& record, const checker::Verdict& verdict) {
  std::string data = Series(record).dump();
  for (size_t at = 0; (at = data.find("</", at)) != std::string::npos;) data.replace(at, 2, "<\\/");
  std::string out = "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>";
  out += Escaped(record.facts.scenario) +
         "</title><style>body{font:14px sans-serif;max-width:1040px;margin:24px auto;color:#222}"
         "pre{background:#f4f4f2;padding:12px;overflow:auto}h2{font-size:15px;margin:22px 0 4px}"
         ".bad{color:#c0392b}.good{color:#2a7d4c}</style></head><body><h1>";
  out += Escaped(record.facts.scenario) + "</h1><p>" + Escaped(record.facts.mode) + ", seed " +
         std::to_string(record.facts.seed) + ", " + std::to_string(record.facts.gateways) + " gateways. ";
  out += verdict.Kept() ? "<b class=\"good\">All five rules kept.</b>"
                        : "<b class=\"bad\">A rule is broken.</b>";
  out += "</p><pre>" + Escaped(TextReport(record, verdict)) + "</pre><script>const data=" + data + ";" +
         kScript + "</script></body></html>\n";
  return out;
}

}  // namespace ivygw::rehearsal
