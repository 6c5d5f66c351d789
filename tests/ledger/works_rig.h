// Gateways' ledgers round one engine in memory, each with a place of its own and a core that sends, once it
// may, and hears what came of it. Every step is the test's: the engine does a call, a reply comes or is lost,
// bytes go out, a lease ends.
#ifndef IVYGW_TESTS_WORKS_RIG_H_
#define IVYGW_TESTS_WORKS_RIG_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ledger/book.h"
#include "shared/memory_store.h"

namespace ivygw::ledger {

struct WorksRig {
  static constexpr double kLease = 3;
  struct Gateway {
    std::string name, boot;
    std::unique_ptr<Book> book;
    uint64_t slot = 0;  // version of its place
    double sure_until = 0;
    struct Under {
      Ask ask;
      std::optional<shared::Reply> reply;  // done by the engine
    };
    std::deque<Under> calls;
    struct Send {
      uint32_t request = 0;
      int attempt = 0;
      bool out = false;  // its bytes have gone
    };
    std::vector<Send> sends;                // that may go, and those under way
    std::map<uint64_t, uint32_t> requests;  // by client
    struct Told {
      uint64_t client = 0;
      int status = 0;
      std::string body, why;
    };
    std::vector<Told> answers;         // final ones
    std::map<uint64_t, Told> waiting;  // held by the ledger
    uint32_t last_request = 0;
  };

  explicit WorksRig(int n, Effect effect, double timeout_s = 10, double lease = kLease, double life = 60)
      : life_s(life), lease_s(lease), effect_(effect), timeout_s_(timeout_s) {
    for (int i = 0; i < n; ++i) Join(i);
  }
  WorksRig(const WorksRig& other)
      : patience_s(other.patience_s),
        life_s(other.life_s),
        lease_s(other.lease_s),
        now(other.now),
        store(other.store),
        sent(other.sent),
        effects(other.effects),
        may_have_run(other.may_have_run),
        last_prior(other.last_prior),
        effect_(other.effect_),
        timeout_s_(other.timeout_s_),
        boots_(other.boots_) {
    for (const auto& from : other.gateways) {
      auto g = std::make_unique<Gateway>();
      g->name = from->name;
      g->boot = from->boot;
      g->slot = from->slot;
      g->sure_until = from->sure_until;
      g->calls = from->calls;
      g->sends = from->sends;
      g->requests = from->requests;
      g->answers = from->answers;
      g->waiting = from->waiting;
      g->last_request = from->last_request;
      g->book = std::make_unique<Book>(*from->book, RightOf(g.get()));
      gateways.push_back(std::move(g));
    }
  }
  static Book::RightOf RightOf(const Gateway* g) {
    return [g](double at) -> std::optional<Book::Right> {
      if (at >= g->sure_until) return std::nullopt;
      return Book::Right{{"slot/" + g->name, g->slot}, g->slot};
    };
  }
  void Join(int i) {
    auto g = std::make_unique<Gateway>();
    g->name = "g" + std::to_string(i);
    g->boot = "b" + std::to_string(boots_++);
    Options options;
    options.name = g->name;
    options.boot = g->boot;
    options.patience_s = patience_s;
    options.life_s = life_s;
    g->book = std::make_unique<Book>(options, RightOf(g.get()));
    if (static_cast<int>(gateways.size()) <= i) gateways.resize(static_cast<size_t>(i) + 1);
    gateways[static_cast<size_t>(i)] = std::move(g);
    Place(i);
  }
  // Its place and its entry are there, for a lease.
  void Place(int i) {
    Gateway& g = At(i);
    shared::Batch batch;
    batch.changes.push_back(shared::Put("member/" + g.name, "{\"boot\":\"" + g.boot + "\"}", lease_s));
    batch.changes.push_back(shared::Put("slot/" + g.name, g.boot, lease_s));
    g.slot = store.Take(shared::Commit(batch), now).revision;
    g.sure_until = now + 0.9 * lease_s;
  }
  Gateway& At(int i) { return *gateways[static_cast<size_t>(i)]; }

  void AskAt(int i, uint64_t client, const std::string& body = "body") {
    Asked asked;
    asked.client = client;
    asked.work = "w";
    asked.body = HashOf(body);
    asked.effect = effect_;
    asked.timeout_s = timeout_s_;
    Decisions out;
    At(i).book->OnAsked(now, asked, &out);
    Do(i, std::move(out));
  }
  // The engine does the oldest call that it has not done.
  bool Execute(int i) {
    for (auto& under : At(i).calls) {
      if (under.reply) continue;
      under.reply = store.Take(under.ask.call, now);
      return true;
    }
    return false;
  }
  bool Deliver(int i, bool lose = false) {
    Gateway& g = At(i);
    if (g.calls.empty() || !g.calls.front().reply) return false;
    auto under = std::move(g.calls.front());
    g.calls.pop_front();
    if (lose) return true;
    Decisions out;
    g.book->OnReply(now, under.ask.number, *under.reply, &out);
    Do(i, std::move(out));
    return true;
  }
  // All that is out is done and told, and bytes go out.
  void Settle(int i) {
    for (bool more = true; more;) {
      more = false;
      while (Execute(i) || Deliver(i)) more = true;
      for (size_t s = 0; s < At(i).sends.size(); ++s) {
        if (!At(i).sends[s].out) more = Go(i, s) || more;
      }
    }
  }
  void Tick(int i) {
    Decisions out;
    At(i).book->OnTime(now, &out);
    Do(i, std::move(out));
  }
  // The bytes of an attempt that may be sent go out.
  bool Go(int i, size_t s) {
    if (s >= At(i).sends.size() || At(i).sends[s].out) return false;
    At(i).sends[s].out = true;
    ++sent;
    ++may_have_run;
    return true;
  }
  // Its backend has answered well, or is known not to have run it.
  bool Outcome(int i, size_t s, bool good) {
    Gateway& g = At(i);
    if (s >= g.sends.size() || !g.sends[s].out) return false;
    auto send = g.sends[s];
    g.sends.erase(g.sends.begin() + static_cast<long>(s));
    if (good)
      ++effects;
    else
      --may_have_run;
    g.book->OnAttemptEnded(now, send.request, send.attempt, good);
    for (auto& [client, request] : g.requests) {
      if (request != send.request) continue;
      uint64_t of = client;
      Finish(i, of, good ? 200 : 503, good ? "effect " + std::to_string(effects) : "");
      break;
    }
    return true;
  }
  // The core's final answer to a client.
  void Finish(int i, uint64_t client, int status, const std::string& body) {
    Gateway& g = At(i);
    g.requests.erase(client);
    Decisions out;
    bool goes = g.book->OnAnswer(now, client, status, "t", body, &out);
    if (goes)
      g.answers.push_back({client, status, body, ""});
    else
      g.waiting[client] = {client, status, body, ""};
    Do(i, std::move(out));
  }

  void Do(int i, Decisions decisions) {
    Gateway& g = At(i);
    for (Decision& d : decisions) {
      if (auto* ask = std::get_if<Ask>(&d)) {
        g.calls.push_back({std::move(*ask), std::nullopt});
      } else if (auto* admit = std::get_if<Admit>(&d)) {
        last_prior = admit->prior;
        uint32_t request = ++g.last_request;
        if (admit->prior.may_have_run && effect_ == Effect::kUnsafe) {
          g.book->OnHeld(admit->client, request);
          Finish(i, admit->client, 502, "");
          continue;
        }
        g.requests[admit->client] = request;
        g.book->OnHeld(admit->client, request);
        Decisions out;
        if (!g.book->OnIntend(now, request, 0, "s1", 1, 2, &out)) g.sends.push_back({request, 0, false});
        Do(i, std::move(out));
      } else if (auto* told = std::get_if<IntentTold>(&d)) {
        uint64_t client = 0;
        for (auto& [c, request] : g.requests) {
          if (request == told->request) client = c;
        }
        if (client == 0) continue;  // withdrawn
        if (told->ok)
          g.sends.push_back({told->request, told->attempt, false});
        else
          Finish(i, client, 503, "");
      } else if (auto* tell = std::get_if<Tell>(&d)) {
        g.waiting.erase(tell->client);
        g.answers.push_back({tell->client, tell->status, tell->body, tell->why});
      } else if (auto* withdraw = std::get_if<Withdraw>(&d)) {
        g.requests.erase(withdraw->client);
      } else if (auto* release = std::get_if<Release>(&d)) {
        g.answers.push_back(g.waiting.at(release->client));
        g.waiting.erase(release->client);
      }
    }
  }

  std::optional<Record> Stored() {
    shared::Reply r = store.Take(shared::Get(Book::Key("w")), now);
    if (r.entries.empty()) return std::nullopt;
    return Read(r.entries[0].value);
  }

  double patience_s = 0.15, life_s = 60, lease_s = kLease;
  double now = 100;
  shared::MemoryStore store{"gen"};
  std::vector<std::unique_ptr<Gateway>> gateways;
  int sent = 0, effects = 0, may_have_run = 0;
  Prior last_prior;

 private:
  const Effect effect_;
  const double timeout_s_;
  int boots_ = 0;
};

}  // namespace ivygw::ledger

#endif  // IVYGW_TESTS_WORKS_RIG_H_
