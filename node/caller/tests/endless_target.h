/** @file
 * A target that sends bytes without end until its peer closes the connection.
 * Requests for /plain get a short valid response.
 */
#ifndef NODE_CALLER_TESTS_ENDLESS_TARGET_H
#define NODE_CALLER_TESTS_ENDLESS_TARGET_H

#include <cstdint>
#include <list>
#include <string>

#include <ev.h>

class EndlessTarget
{
public:
  explicit EndlessTarget (struct ev_loop *loop);
  ~EndlessTarget ();
  EndlessTarget (const EndlessTarget &) = delete;
  EndlessTarget &operator= (const EndlessTarget &) = delete;

  std::string address () const;

  /** The response to a request for /plain. */
  std::string plain = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nplain";
  std::string start;              /**< sent once after the head of a request */
  std::string unit;               /**< sent repeatedly after START */
  size_t block_bytes = 64 * 1024; /**< maximum of one write */
  uint64_t end_bytes = UINT64_MAX; /**< closes after so many bytes */
  int requests = 0;                /**< except those for /plain */
  int closed = 0; /**< connections of these that the host has closed */
  uint64_t sent_bytes = 0;

private:
  struct Peer
  {
    EndlessTarget *target;
    int fd;
    std::string received;
    bool endless;
    std::string pending;
    ev_io io;
  };

  static void on_accept (struct ev_loop *loop, ev_io *io, int events);
  static void on_event (struct ev_loop *loop, ev_io *io, int events);
  void read_request (Peer *peer);
  void write_more (Peer *peer);
  void drop (Peer *peer);

  struct ev_loop *loop_;
  int fd_;
  ev_io io_;
  std::list<Peer> peers_;
};

#endif
