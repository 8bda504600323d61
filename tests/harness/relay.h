/** @file
 * A TCP relay inside the test that can drop what flows one way.
 */
#ifndef TESTS_HARNESS_RELAY_H
#define TESTS_HARNESS_RELAY_H

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/** Forwards connections to an address.  A cut direction swallows bytes and
 * keeps the connection open, as a network that loses packets one way does
 * (short of the sender's own retransmission running out). */
class Relay
{
public:
  Relay (const std::string &listen, const std::string &forward);
  ~Relay ();
  Relay (const Relay &) = delete;
  Relay &operator= (const Relay &) = delete;

  /** Drop what the connecting side sends. */
  std::atomic<bool> cut_forward{ false };
  /** Drop what the forwarded-to side sends back. */
  std::atomic<bool> cut_back{ false };

private:
  void accept_loop ();
  void pump (int from, int to, const std::atomic<bool> &cut);

  std::string forward_;
  int listener_ = -1;
  std::mutex mutex_;
  std::vector<int> sockets_;
  std::vector<std::thread> pumps_;
  std::thread acceptor_;
  bool closing_ = false;
};

#endif
