/** @file
 * A caller's connection that is used for one request after the other for as
 * long as the host keeps it open.
 *
 * Unlike libcurl, it never sends a request again when the connection turns out
 * to be closed.
 */
#ifndef TESTS_HARNESS_KEPT_CONNECTION_H
#define TESTS_HARNESS_KEPT_CONNECTION_H

#include <string>
#include <vector>

#include "tests/harness/http.h"

class KeptConnection
{
public:
  /** Connect to ADDRESS, an IP:PORT; see is_open(). */
  explicit KeptConnection (const std::string &address);
  ~KeptConnection ();
  KeptConnection (const KeptConnection &) = delete;
  KeptConnection &operator= (const KeptConnection &) = delete;

  /** Another request may be sent. */
  bool is_open () const;

  /** Send REQUEST, of whose url only the path is used, and wait for the
   * response.  The connection is closed afterwards if the host says so or if
   * the response is incomplete. */
  HttpResponse send (const HttpRequest &request);

  /** The same for the text of a request in PARTS, sent PAUSE_MS after each
   * other.  A response that comes before the last part is received too. */
  HttpResponse send_parts (const std::vector<std::string> &parts,
                           int pause_ms = 0);

private:
  bool send_all (const std::vector<std::string> &parts, int pause_ms);
  bool receive_until (const std::string &end, size_t from);
  bool receive_bytes (size_t count);
  bool receive_more ();
  bool receive_head (HttpResponse *response);
  bool receive_body (HttpResponse *response);
  bool receive_chunks (HttpResponse *response);
  void close_now ();

  int fd_;
  std::string received_; /**< of the current response, or of later ones */
};

#endif
