/** @file
 * Front of the stand-in store: it takes the hosts' calls and lets one of the
 * store's replicas answer each of them.
 *
 * Calls without `Serializable` are answered from the newest state.  A call
 * with it may be answered by a replica that lags behind: the page allows
 * answers that are seconds old, call by call.
 */
#ifndef REVIEW_COMMON_STORE_FRONT_H
#define REVIEW_COMMON_STORE_FRONT_H

#include <functional>
#include <map>
#include <mutex>
#include <string>

#include <microhttpd.h>

#include "platform/tests/fake_store.h"

class StoreFront
{
public:
  /** A list call that may be old: its kind and the name that it continues
   * after.  Returns how far the replica that answers lags behind. */
  using Lag
      = std::function<int (const std::string &kind, const std::string &after)>;

  StoreFront (FakeStore &store, const std::string &address);
  ~StoreFront ();
  StoreFront (const StoreFront &) = delete;
  StoreFront &operator= (const StoreFront &) = delete;

  void set_lag (Lag lag);

  FakeStore::Reply answer (const std::string &method, const std::string &path,
                           const std::map<std::string, std::string> &query,
                           const std::string &body);

private:
  FakeStore &store_;
  std::mutex mutex_; /* the lag of the store is set for one list at a time */
  Lag lag_;
  MHD_Daemon *daemon_ = nullptr;
};

#endif
