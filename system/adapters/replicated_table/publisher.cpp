#include "replicated_table/publisher.h"

#include <algorithm>
#include <utility>

#include "messages/codec.h"

namespace ivygw::replicated_table {

using messages::Item;
using messages::Record;

namespace {

constexpr auto kBatchDelay = std::chrono::milliseconds(8);
constexpr size_t kPartBytes = size_t{256} * 1024;  // of a list in one message
constexpr size_t kItemOverhead = 32;               // bytes of an item beside its key and body, about
constexpr size_t kMaxNamedGateways = 200;

}  // namespace

Publisher::Publisher(asio::io_context& io, const replication::Replica& replica, std::string published_prefix,
                     Events events)
    : replica_(replica),
      published_prefix_(std::move(published_prefix)),
      events_(std::move(events)),
      batch_timer_(io) {}

const Subscriber& Publisher::OnSubscriberUp(uint64_t peer, const messages::Hello& hello) {
  Subscriber& subscriber = subscribers_[peer];
  subscriber.node = hello.node;
  subscriber.zone = hello.zone;
  subscriber.incarnation = hello.incarnation;
  return subscriber;
}

void Publisher::OnRangeDigests(uint64_t peer, const messages::RangeDigests& known_digests) {
  auto it = subscribers_.find(peer);
  if (it == subscribers_.end() || known_digests.digests.size() != messages::kListRanges) return;
  Subscriber& subscriber = it->second;
  if (subscriber.list == Subscriber::List::kInProgress) return;
  subscriber.known_digests = known_digests.digests;
  subscriber.request_number = ++last_request_;
  subscriber.list = Subscriber::List::kRequested;
  if (!events_.has_quorum_contact()) {
    events_.send(peer, CurrentStatus());  // it need not wait for this core
    return;
  }
  AnswerRequests();
}

void Publisher::OnPushAck(uint64_t peer, const messages::PushAck& ack) {
  auto it = subscribers_.find(peer);
  if (it == subscribers_.end()) return;
  // Gateways of earlier versions acknowledge provisional pushes, too.
  if (ack.number == messages::kProvisionalPush) return;
  Subscriber& subscriber = it->second;
  subscriber.acknowledged = ack.number;
  if (subscriber.list == Subscriber::List::kInProgress && ack.number == subscriber.part)
    ContinueList(peer, &subscriber);
}

void Publisher::OnChanged(const std::vector<std::string>& keys, bool reset) {
  published_digests_.clear();
  if (!reset) {
    for (const std::string& key : keys) {
      if (IsPublished(key)) changed_keys_.insert(key);
    }
    if (!changed_keys_.empty()) ScheduleBatch();
    return;
  }
  // Which records there were before is no longer known: whole lists tell what has ended.
  for (auto& [peer, subscriber] : subscribers_) {
    if (!subscriber.listed && subscriber.list == Subscriber::List::kNone) continue;
    subscriber.known_digests.clear();
    subscriber.request_number = ++last_request_;
    subscriber.list = Subscriber::List::kRequested;
  }
  AnswerRequests();
}

void Publisher::PushProvisional(const Item& item) {
  if (!IsPublished(item.key)) return;
  auto [it, added] = provisional_.try_emplace(item.key, item);
  if (!added && messages::Newer(item, it->second)) it->second = item;
  ScheduleBatch();
}

void Publisher::OnTime() {
  AnswerRequests();
  SendStatusIfChanged();
}

bool Publisher::IsPublished(const std::string& key) const {
  return key.compare(0, published_prefix_.size(), published_prefix_) == 0;
}

// Tombstones are left out: when they end is no difference.
const std::vector<uint64_t>& Publisher::PublishedDigests() {
  if (!published_digests_.empty()) return published_digests_;
  published_digests_.assign(messages::kListRanges, 0);
  for (const auto& [key, record] : replica_.table().records()) {
    if (!IsPublished(key) || record.item.dropped) continue;
    published_digests_[messages::RangeOf(key, messages::kListRanges)] ^= messages::DigestOf(record.item);
  }
  return published_digests_;
}

void Publisher::ScheduleBatch() {
  if (batch_timer_.expiry() > Clock::now()) return;
  batch_timer_.expires_after(kBatchDelay);
  batch_timer_.async_wait([this, alive = alive_](error_code cancelled) {
    if (!cancelled && *alive) PushChanges();
  });
}

// `listing`: a subscriber whose list is in progress; what that list still has to send is left out.
messages::Push Publisher::ChangesFor(const std::set<std::string>& keys, const Subscriber* listing) const {
  messages::Push push;
  push.number = last_push_;
  push.revision = replica_.revision();
  for (const std::string& key : keys) {
    bool still_to_come = listing && key > listing->cursor &&
                         listing->differing_ranges[messages::RangeOf(key, messages::kListRanges)];
    if (still_to_come) continue;
    if (const Record* record = replica_.table().Find(key)) {
      push.items.push_back(record->item);
    } else {
      push.removed_keys.push_back(key);
    }
  }
  return push;
}

void Publisher::PushChanges() {
  std::set<std::string> keys = std::exchange(changed_keys_, {});
  if (!keys.empty()) PushDecided(keys);
  std::map<std::string, Item> provisional = std::exchange(provisional_, {});
  if (!provisional.empty()) PushUndecided(provisional);
}

void Publisher::PushDecided(const std::set<std::string>& keys) {
  ++last_push_;
  std::string frame = messages::Encode(ChangesFor(keys, nullptr));
  for (auto& [peer, subscriber] : subscribers_) {
    if (subscriber.listed) {
      events_.send_frame(peer, frame);
    } else if (subscriber.list == Subscriber::List::kInProgress) {
      messages::Push push = ChangesFor(keys, &subscriber);
      if (push.items.empty() && push.removed_keys.empty()) continue;
      events_.send(peer, push);
    } else {
      continue;
    }
    subscriber.pushed = last_push_;
  }
}

// Marked as undecided, so that gateways let any later decision on the same keys prevail.
void Publisher::PushUndecided(const std::map<std::string, Item>& provisional) {
  messages::Push push;
  push.number = messages::kProvisionalPush;
  push.revision = replica_.revision();
  for (const auto& [key, item] : provisional) {
    const Record* record = replica_.table().Find(key);
    if (!record || messages::Newer(item, record->item)) push.items.push_back(item);
  }
  if (push.items.empty()) return;
  std::string frame = messages::Encode(push);
  for (const auto& [peer, subscriber] : subscribers_) {
    bool follows = subscriber.listed || subscriber.list == Subscriber::List::kInProgress;
    if (follows) events_.send_frame(peer, frame);
  }
}

// Begins the lists of all whose question is older than the last read, and starts a read for those whose
// isn't.
void Publisher::AnswerRequests() {
  if (!events_.has_quorum_contact()) return;
  bool newer_request = false;
  for (auto& [peer, subscriber] : subscribers_) {
    if (subscriber.list != Subscriber::List::kRequested) continue;
    if (subscriber.request_number <= confirmed_request_) {
      BeginList(peer, &subscriber);
    } else {
      newer_request = true;
    }
  }
  if (!newer_request || reading_) return;
  reading_ = true;
  events_.read([this, covered = last_request_](bool fresh) {
    reading_ = false;
    if (!fresh) return;  // asked again by OnTime
    confirmed_request_ = covered;
    AnswerRequests();
  });
}

void Publisher::BeginList(uint64_t peer, Subscriber* subscriber) {
  subscriber->list = Subscriber::List::kInProgress;
  subscriber->list_revision = replica_.revision();
  subscriber->cursor.clear();
  subscriber->differing_ranges.assign(messages::kListRanges, true);
  if (!subscriber->known_digests.empty()) {
    const std::vector<uint64_t>& digests = PublishedDigests();
    for (size_t range = 0; range < digests.size(); ++range) {
      subscriber->differing_ranges[range] = digests[range] != subscriber->known_digests[range];
    }
  }
  ContinueList(peer, subscriber);
}

// One part after each acknowledgement, so that none piles up here.
void Publisher::ContinueList(uint64_t peer, Subscriber* subscriber) {
  messages::Push push;
  size_t bytes = 0;
  const auto& records = replica_.table().records();
  for (auto it = records.upper_bound(subscriber->cursor); it != records.end() && bytes < kPartBytes; ++it) {
    subscriber->cursor = it->first;
    bool needed = IsPublished(it->first) &&
                  subscriber->differing_ranges[messages::RangeOf(it->first, messages::kListRanges)];
    if (!needed) continue;
    bytes += it->first.size() + it->second.item.body.size() + kItemOverhead;
    push.items.push_back(it->second.item);
  }
  if (!push.items.empty()) {
    push.number = subscriber->pushed = subscriber->part = ++last_push_;
    push.list_part = true;
    push.revision = replica_.revision();
    events_.send(peer, push);
    if (bytes >= kPartBytes) return;
  }
  EndList(peer, subscriber);
}

void Publisher::EndList(uint64_t peer, Subscriber* subscriber) {
  if (!events_.has_quorum_contact()) {  // what a majority has decided meanwhile can't be told
    subscriber->list = Subscriber::List::kRequested;
    subscriber->request_number = ++last_request_;
    return;
  }
  PushChanges();  // what has changed behind the cursor goes before the word that the list is complete
  subscriber->list = Subscriber::List::kNone;
  subscriber->listed = true;
  subscriber->known_digests.clear();
  messages::CoreStatus state = CurrentStatus();
  state.list_complete = true;
  state.list_revision = subscriber->list_revision;
  for (size_t range = 0; range < subscriber->differing_ranges.size(); ++range) {
    if (subscriber->differing_ranges[range]) state.listed_ranges.push_back(static_cast<uint32_t>(range));
  }
  events_.send(peer, state);
}

messages::CoreStatus Publisher::CurrentStatus() const {
  messages::CoreStatus state;
  state.gateway_count = static_cast<uint32_t>(gateways_.size());
  if (gateways_.size() <= kMaxNamedGateways) state.gateways = gateways_;
  state.cores = cores_;
  state.epoch = replica_.membership().epoch;
  for (const messages::Member& member : replica_.membership().members) state.voters.push_back(member.address);
  return state;
}

void Publisher::SendStatusIfChanged() {
  messages::CoreStatus state = CurrentStatus();
  if (state == sent_status_) return;
  sent_status_ = state;
  PushChanges();  // a new epoch is told after all that was decided before it
  state.list_complete = true;
  for (const auto& [peer, subscriber] : subscribers_) {
    if (subscriber.listed) events_.send(peer, state);
  }
}

}  // namespace ivygw::replicated_table
