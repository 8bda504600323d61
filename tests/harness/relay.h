/** @file
 * A TCP relay inside the test that can drop what flows one way.
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

/** Forwards connections to an address.  A cut direction swallows bytes and
 * keeps the connection open, as a network that loses packets one way does
 * (short of the sender's own retransmission running out); each block that is
 * forwarded may be held up, and all connections may be reset at once. */
class Relay
{
public:
  Relay (const std::string &listen, const std::string &forward);
  ~Relay ();
  Relay (const Relay &) = delete;
  Relay &operator= (const Relay &) = delete;

  /** Drop what the connecting side sends. */
  std::atomic<bool> drop_forward{ false };
  /** Drop what the forwarded-to side sends back. */
  std::atomic<bool> drop_backward{ false };
  /** Hold up each block for so long. */
  std::atomic<int> delay_ms{ 0 };

  /** Reset all connections, both ways. */
  void reset ();

private:
  /** One connection, with the sockets on both sides of the relay. */
  struct Link
  {
    int client_fd;
    int server_fd;
    int pumps = 2; /**< that still run */
  };

  void accept_loop ();
  void release (Link *link);
  void pump (int from, int to, const std::atomic<bool> &cut);

  std::string forward_;
  int listener_ = -1;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::list<std::unique_ptr<Link>> links_;
  std::thread acceptor_;
};

#endif
