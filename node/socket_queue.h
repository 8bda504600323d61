/** @file
 * What the kernel holds of a TCP connection.
 */
#ifndef NODE_SOCKET_QUEUE_H
#define NODE_SOCKET_QUEUE_H

/** Bytes that were received on FD and not read yet; 0 if that isn't known. */
int socket_queue_unread_bytes (int fd);

/** Bytes that were written to FD and that the peer hasn't confirmed; 0 if that
 * isn't known. */
int socket_queue_undelivered_bytes (int fd);

#endif
