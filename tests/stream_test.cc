// Streams on real sockets: pauses of reading, the peer's end and resets.
#include "yuccawick/net/stream.h"

#include <criterion/criterion.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <string>

#include "yuccawick/net/endpoint.h"

namespace yuccawick::tests {
namespace {

using net::CloseCause;
using net::Reading;

constexpr int         kUserTimeout = 60'000;    // ms, TCP user timeout
constexpr int         kPollLimit = 10'000;      // ms
constexpr int         kKernelBytes = 1 << 20;   // receive buffer of a socket
constexpr std::size_t kManyBytes = 150'000;     // more than one recv() returns
constexpr std::size_t kUnsendable = 64U << 20;  // bytes, exceeds all buffers
constexpr int         kManySteps = 20;          // iterations of the loop

// Both ends of a connection. The stream under test owns `own`.
struct Ends {
  int own = -1;
  int peer = -1;
};

Ends MakeLocal() {
  std::array<int, 2> fds{};
  cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds.data()),
               0);
  return {fds[0], fds[1]};
}

Ends MakeTcp() {
  constexpr std::uint32_t kLoopback = INADDR_LOOPBACK;
  const int               listener = net::Listen({kLoopback, 0});
  cr_assert_geq(listener, 0);
  // Accepted sockets inherit it.
  setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &kKernelBytes,
             sizeof kKernelBytes);
  sockaddr_in address{};
  socklen_t   size = sizeof address;
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  Ends ends;
  ends.peer = net::Connect({kLoopback, ntohs(address.sin_port)}, kUserTimeout);
  pollfd pending{listener, POLLIN, 0};
  cr_assert_eq(poll(&pending, 1, kPollLimit), 1);
  ends.own = net::Accept(listener, kUserTimeout);
  close(listener);
  return ends;
}

// Waits until the kernel reports one of `events` for `fd`.
void Await(int fd, short events) {
  pollfd polled{fd, events, 0};
  cr_assert_eq(poll(&polled, 1, kPollLimit), 1);
}

void ResetPeer(const Ends& ends) {
  const linger immediate{1, 0};
  setsockopt(ends.peer, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
  close(ends.peer);
  Await(ends.own, 0);  // POLLHUP is always reported
}

// A stream whose owner pauses reading whenever it receives bytes, unless told
// otherwise.
struct PausingOwner final : net::StreamOwner {
  explicit PausingOwner(const Ends& at)
      : ends(at), stream(&loop, this, at.own, false) {}

  void OnBytes(std::string_view bytes) override {
    taken += bytes.size();
    if (pauses) stream.SetReading(Reading::kOff);
  }
  void OnClosed(CloseCause why) override {
    ++closes;
    cause = why;
  }
  // Returns the number of events of many iterations.
  int Run() {
    int events = 0;
    for (int i = 0; i < kManySteps; ++i) events += loop.RunOnce(0);
    return events;
  }
  void ResumeUntilClosed() {
    for (int i = 0; i < kManySteps && closes == 0; ++i) {
      stream.SetReading(Reading::kOn);
      Run();
    }
  }
  void SendFromPeer(std::size_t size) {
    const std::string bytes(size, 'x');
    cr_assert_eq(send(ends.peer, bytes.data(), size, MSG_NOSIGNAL),
                 static_cast<ssize_t>(size));
  }

  net::EventLoop loop;
  Ends           ends;
  net::Stream    stream;
  bool           pauses = true;
  std::size_t    taken = 0;
  int            closes = 0;
  CloseCause     cause = CloseCause::kReset;
};

struct EndCase {
  const char*                        name;
  std::function<Ends()>              connect;
  std::function<void(PausingOwner&)> end;
};

const std::array<EndCase, 4> kOrderlyEnds{{
    {"local, half-closed", MakeLocal,
     [](PausingOwner& owner) { shutdown(owner.ends.peer, SHUT_WR); }},
    {"local, closed", MakeLocal,
     [](PausingOwner& owner) { close(owner.ends.peer); }},
    {"TCP, half-closed", MakeTcp,
     [](PausingOwner& owner) { shutdown(owner.ends.peer, SHUT_WR); }},
    {"TCP, both closed", MakeTcp,
     [](PausingOwner& owner) {
       owner.stream.EndWriting();
       close(owner.ends.peer);
     }},
}};

Test(Stream, ReadingPausedAtThePeersEnd_DeliversTheRestLater) {
  // Guards against an end that overtakes bytes, after which a cut message looks
  // complete.
  for (const EndCase& c : kOrderlyEnds) {
    PausingOwner owner(c.connect());
    owner.SendFromPeer(kManyBytes);
    c.end(owner);
    Await(owner.ends.own, POLLRDHUP);
    owner.Run();
    cr_assert_eq(owner.closes, 0, "%s: ended after %zu bytes", c.name,
                 owner.taken);
    const std::size_t first = owner.taken;
    cr_assert_lt(first, kManyBytes, "%s", c.name);
    owner.Run();
    cr_assert_eq(owner.taken, first, "%s: read while paused", c.name);
    owner.ResumeUntilClosed();
    owner.Run();
    cr_assert_eq(owner.taken, kManyBytes, "%s: %zu", c.name, owner.taken);
    cr_assert_eq(owner.closes, 1, "%s", c.name);
    cr_assert(owner.cause == CloseCause::kEnd, "%s", c.name);
  }
}

Test(Stream, ReadingPausedAtThePeersEnd_LoopIsIdle) {
  // Guards against a loop that spins on a hang-up that it cannot handle yet.
  for (const EndCase& c : kOrderlyEnds) {
    PausingOwner owner(c.connect());
    owner.SendFromPeer(kManyBytes);
    c.end(owner);
    Await(owner.ends.own, POLLRDHUP);
    owner.Run();
    cr_assert(owner.stream.is_open(), "%s", c.name);
    cr_assert_eq(owner.Run(), 0, "%s", c.name);
  }
}

Test(Stream, PeerResetsWhileReadingIsPaused_ReportsTheReset) {
  // Guards against a reset that is taken for an orderly end or not noticed.
  for (const bool paused_before : {true, false}) {
    PausingOwner owner(MakeTcp());
    owner.SendFromPeer(kManyBytes);
    Await(owner.ends.own, POLLIN);
    if (paused_before) owner.Run();
    ResetPeer(owner.ends);
    owner.Run();
    cr_assert_eq(owner.closes, 1);
    cr_assert(owner.cause == CloseCause::kReset);
  }
}

Test(Stream, ClosedWhileReadingIsPausedAtThePeersEnd_ReportsNothing) {
  // Guards against callbacks to an owner that gave the stream up.
  for (const EndCase& c : kOrderlyEnds) {
    PausingOwner owner(c.connect());
    owner.SendFromPeer(kManyBytes);
    c.end(owner);
    Await(owner.ends.own, POLLRDHUP);
    owner.Run();
    const std::size_t first = owner.taken;
    owner.stream.Close();
    owner.stream.SetReading(Reading::kOn);
    cr_assert_eq(owner.Run(), 0, "%s", c.name);
    cr_assert_eq(owner.closes, 0, "%s", c.name);
    cr_assert_eq(owner.taken, first, "%s", c.name);
  }
}

Test(Stream, PeerResetsBeforeAWrite_ReportsTheResetAfterTheBytes) {
  // Guards against a reset that a failed write hides, so that a cut message
  // looks complete.
  for (const std::size_t unsent : {std::size_t{0}, kUnsendable}) {
    PausingOwner owner(MakeTcp());
    owner.pauses = false;
    owner.stream.Write(std::string(unsent, 'x'));
    owner.SendFromPeer(kManyBytes);
    Await(owner.ends.own, POLLIN);
    ResetPeer(owner.ends);
    owner.stream.Write("x");
    owner.Run();
    cr_assert_eq(owner.closes, 1, "%zu unsent", unsent);
    cr_assert(owner.cause == CloseCause::kReset, "%zu unsent: ended after %zu",
              unsent, owner.taken);
  }
}

Test(Stream, PeerEndsThenResetsWithUnsentBytes_DeliversTheRestLater) {
  // Guards against a loop that spins on bytes that cannot be sent while reading
  // is paused, and against losing what the peer sent before its end.
  PausingOwner owner(MakeTcp());
  owner.stream.Write(std::string(kUnsendable, 'x'));
  owner.SendFromPeer(kManyBytes);
  shutdown(owner.ends.peer, SHUT_WR);
  Await(owner.ends.own, POLLRDHUP);
  ResetPeer(owner.ends);
  owner.Run();
  cr_assert(owner.stream.is_open());
  cr_assert_eq(owner.Run(), 0);
  owner.ResumeUntilClosed();
  cr_assert_eq(owner.taken, kManyBytes);
  cr_assert(owner.cause == CloseCause::kEnd);
}

// Pauses reading of another stream when it receives bytes.
struct PausingNeighbour final : net::StreamOwner {
  PausingNeighbour(net::EventLoop* loop, const Ends& at)
      : ends(at), stream(loop, this, at.own, false) {}
  void OnBytes(std::string_view bytes) override {
    taken += bytes.size();
    other->stream.SetReading(Reading::kOff);
  }
  void OnClosed(CloseCause /*cause*/) override {}

  Ends              ends;
  net::Stream       stream;
  PausingNeighbour* other = nullptr;
  std::size_t       taken = 0;
};

Test(Stream, ReadingPausedByAnEarlierHandler_DeliversNothing) {
  // Guards against bytes for an owner that paused reading while the event was
  // already reported.
  net::EventLoop   loop;
  PausingNeighbour first(&loop, MakeLocal());
  PausingNeighbour second(&loop, MakeLocal());
  first.other = &second;
  second.other = &first;
  cr_assert_eq(send(first.ends.peer, "x", 1, MSG_NOSIGNAL), 1);
  cr_assert_eq(send(second.ends.peer, "x", 1, MSG_NOSIGNAL), 1);
  cr_assert_eq(loop.RunOnce(0), 2);
  cr_assert_eq(first.taken + second.taken, 1);
}

}  // namespace
}  // namespace yuccawick::tests
