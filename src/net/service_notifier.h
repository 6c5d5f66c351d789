// Tells the service manager that started this process of its state, as sd_notify(3) describes: a datagram to
// the Unix socket that $NOTIFY_SOCKET names. With `Type=notify-reload` systemd starts what depends on the
// service once it is ready, and sends no SIGHUP before. A process that was given no socket tells nobody.
#ifndef IVYGW_NET_SERVICE_NOTIFIER_H_
#define IVYGW_NET_SERVICE_NOTIFIER_H_

#include <string>

namespace ivygw {

class ServiceNotifier {
 public:
  // `socket`: a path, or "@" and a name in the abstract namespace; empty: nobody is told.
  explicit ServiceNotifier(std::string socket) : socket_(std::move(socket)) {}
  // The one that $NOTIFY_SOCKET names.
  static ServiceNotifier FromEnvironment();

  // It is started and takes signals; also the end of a reload.
  void Ready() const;
  // It has begun to read its configuration again.
  void Reloading() const;
  // It has begun to end.
  void Stopping() const;

 private:
  // Never blocks; a manager that can't be reached is none.
  void Send(const std::string& state) const;

  std::string socket_;
};

}  // namespace ivygw

#endif  // IVYGW_NET_SERVICE_NOTIFIER_H_
