#include "node/socket_queue.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

int
socket_queue_unread_bytes (int fd)
{
  int bytes = 0;
  return ioctl (fd, SIOCINQ, &bytes) == 0 ? bytes : 0;
}

/* The end of the stream counts as one byte, and many peers confirm it late. */
int
socket_queue_undelivered_bytes (int fd)
{
  int bytes = 0;
  return ioctl (fd, SIOCOUTQ, &bytes) == 0 && bytes > 1 ? bytes - 1 : 0;
}
