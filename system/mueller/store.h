// Mueller (the store of configuration): its calls, over a replicated table of items. The registry passes outside calls on.
#ifndef IVYGW_SYSTEM_MUELLER_STORE_H_
#define IVYGW_SYSTEM_MUELLER_STORE_H_

#include <functional>

#include "kepler/model.h"
#include "rees/core_node.h"

namespace ivygw::mueller {

class Store {
 public:
  Store(asio::io_context& io, const rakiura::Settings& settings);

 private:
  using Answer = std::function<void(uint32_t status, std::string body)>;
  void Take(const heaphy::Call& call, Answer answer);
  void Modify(const std::string& body, Answer answer);
  void Show(Answer answer);
  kepler::Index index_;  // of all that this copy holds
  rees::CoreNode node_;
};

}  // namespace ivygw::mueller

#endif  // IVYGW_SYSTEM_MUELLER_STORE_H_
