/** @file
 * The network between hosts, and from each host to the platform and to
 * targets, in the test process: each direction of each path can be silenced,
 * and paths to targets can be cut.
 *
 * Bytes on a silenced direction wait, as with TCP whose packets are lost.
 * When the path works again, they go on waiting until the kernel would send
 * them again.  A connection that has had bytes to send for longer than the
 * unacknowledged time of the hosts' sockets is closed.
 */
#ifndef TESTS_HARNESS_HOST_NETWORK_H
#define TESTS_HARNESS_HOST_NETWORK_H

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

class HostNetwork
{
public:
  using Clock = std::chrono::steady_clock;
  /** Number of the platform; hosts are numbered from 1. */
  static constexpr int platform = 0;

  /** Number of a target, from 1. */
  static constexpr int
  target (int number)
  {
    return 1000 + number;
  }

  /** How a path to a target is cut. */
  enum class Cut
  {
    hang,      /**< no packet passes: connections hang, also new ones */
    reset,     /**< connections are reset, and new ones refused */
    refuse_new /**< open connections live on, and new ones are refused */
  };

  HostNetwork ();
  ~HostNetwork ();
  HostNetwork (const HostNetwork &) = delete;
  HostNetwork &operator= (const HostNetwork &) = delete;

  /** Forward connections to LISTEN, an IP:PORT, on to host TO at FORWARD.
   * The host that connects is known by the name in its first message. */
  void add_host (int to, const std::string &listen,
                 const std::string &forward);
  /** Forward connections of host FROM to the platform. */
  void add_platform (int from, const std::string &listen,
                     const std::string &forward);

  /** Forward connections of host FROM to the target numbered TO. */
  void add_target (int from, int to, const std::string &listen,
                   const std::string &forward);
  /** Cut the path from host FROM to the target numbered TO. */
  void cut (int from, int to, Cut form);
  /** Cut the paths from host FROM to TARGETS at one moment: no connection is
   * reset while one of them still accepts new ones. */
  void cut_all (int from, const std::vector<int> &targets, Cut form);
  /** Let a path that was cut work again. */
  void restore (int from, int to);

  /** Silence what FROM sends to TO, or let it pass again. */
  void silence (int from, int to, bool is_silent);
  /** Reset all connections of FROM to TO, also new ones, or none again. */
  void refuse (int from, int to, bool is_refused);

  /** A time in which the network forwarded nothing, since its thread wasn't
   * run. */
  struct Gap
  {
    Clock::time_point from;
    Clock::time_point to;
  };

  /** The gaps so far that are long enough to delay a message noticeably. */
  std::vector<Gap> gaps ();

private:
  void stop_listening (int from, int to, Cut form);
  void reset_connections (int from, int to);

  struct Listener
  {
    int fd;
    int from; /**< -1: known by the first message */
    int to;
    std::string address;
    std::string forward;
    std::vector<int> fillers; /**< occupy the queue of new connections */
  };

  /** One direction of a connection. */
  struct Flow
  {
    int from_fd = -1;
    int to_fd = -1;
    std::string pending; /**< read, not yet written */
    bool is_silent = false;
    bool is_ended = false; /**< the source has sent all */
    bool is_new = false;   /**< nothing has passed yet */
    Clock::time_point silent_since{};
    Clock::time_point resume_at{};
  };

  struct Connection
  {
    int from = -1;
    int to = -1;
    Flow forward;
    Flow backward;
    bool is_closed = false;
  };

  void run ();
  void accept_one (const Listener &listener);
  Listener *find_listener (int from, int to);
  void silence_both_ways (int from, int to, bool is_silent);
  static Clock::time_point next_retransmission (const Flow &flow);
  void update_silence (Flow &flow, bool is_silent);
  bool is_open (const Flow &flow) const;
  void read_flow (Connection &connection, Flow &flow);
  void identify (Connection &connection);
  void write_flow (Connection &connection, Flow &flow);
  void check_unacknowledged (Connection &connection, const Flow &flow);
  void close_connection (Connection &connection);
  void poll_once ();

  std::mutex mutex_;
  std::vector<Listener> listeners_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::map<std::pair<int, int>, bool> silenced_;
  std::map<std::pair<int, int>, bool> refused_;
  std::vector<Gap> gaps_;
  std::atomic<bool> stopping_{ false };
  std::thread thread_;
};

#endif
