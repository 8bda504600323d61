/** @file
 * A TCP relay in the test process that can drop the data of one direction.
 */
#ifndef TESTS_HARNESS_RELAY_H
#define TESTS_HARNESS_RELAY_H

#include <atomic>
#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

/** Forwards connections to an address.  A direction that is dropped loses its
 * bytes while the connection stays open, as with a network that loses packets
 * one way (short of the sender's retransmission timeout).  Each forwarded
 * block can be delayed, and all connections can be reset at once. */
class Relay
{
public:
  Relay (const std::string &listen, const std::string &forward);
  ~Relay ();
  Relay (const Relay &) = delete;
  Relay &operator= (const Relay &) = delete;

  /** Drop what the client sends. */
  std::atomic<bool> drop_forward{ false };
  /** Drop what the server sends. */
  std::atomic<bool> drop_backward{ false };
  /** Delay of each block. */
  std::atomic<int> delay_ms{ 0 };

  /** Reset all connections, on both sides. */
  void reset ();

private:
  /** One connection through the relay. */
  struct Link
  {
    int client_fd;
    int server_fd;
    int pumps = 2; /**< threads still running */
  };

  void accept_loop ();
  void release (Link *link);
  void pump (int from, int to, const std::atomic<bool> &drop);

  std::string forward_;
  int listener_ = -1;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::list<std::unique_ptr<Link>> links_;
  std::thread acceptor_;
};

#endif
