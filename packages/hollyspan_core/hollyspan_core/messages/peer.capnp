@0xd4b6d2f04a9be7c1;
# Messages between daemons.

struct InFlight {
  upstream @0 :Text;
  online @1 :UInt32;      # online requests in flight, sent by this daemon
  batch @2 :UInt32;       # batch streams in flight, sent by this daemon
}

# Load of an upstream as its owner polled it.
struct Report {
  upstream @0 :Text;
  waiting @1 :UInt32;
  running @2 :UInt32;
  reachable @3 :Bool;
}

# Batch streams that the sender runs on one upstream, by their numbers.
struct BatchStreams {
  upstream @0 :Text;
  highest @1 :UInt32;       # last number that was given to a stream
  running @2 :List(UInt32);
}

# A daemon of another data centre, as its link partner heard it.
struct Remote {
  instance @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  dataCentre @3 :Text;
  region @4 :Text;
  leaving @5 :Bool;
  generation @6 :UInt64;
  peerAddress @7 :Text;
  peerPort @8 :UInt16;
  httpPort @9 :UInt16;
  freeSlots @10 :UInt32;
}

struct Heartbeat {
  instance @0 :Text;
  incarnation @1 :UInt64;   # start time, microseconds since the epoch
  sequence @2 :UInt64;
  dataCentre @3 :Text;
  leaving @4 :Bool;
  generation @5 :UInt64;    # of the configuration in force
  inFlight @6 :List(InFlight);
  leavingUpstreams @7 :List(Text);
  peerAddress @8 :Text;
  peerPort @9 :UInt16;
  httpPort @10 :UInt16;
  freeSlots @11 :UInt32;    # online room over the upstreams of its data centre
  cancelledJobs @12 :List(Text);
  region @13 :Text;
  remotes @14 :List(Remote);
  reports @15 :List(Report);
  batchStreams @16 :List(BatchStreams);
}

# Online arrivals towards an upstream, sent to its owner at once.
struct Notice {
  instance @0 :Text;
  sequence @1 :UInt64;
  inFlight @2 :List(InFlight);
  incarnation @3 :UInt64;
  isAnswered @4 :Bool;      # the sender waits for an answer
}

# The loads of a notice were taken in and what they ask for was done.
struct NoticeAnswer {
  instance @0 :Text;
  sequence @1 :UInt64;      # of the notice
  incarnation @2 :UInt64;   # of the daemon that sent the notice
}

struct ConfigurationPull {
  above @0 :UInt64;         # answer only with a higher generation
}

struct ConfigurationDocument {
  generation @0 :UInt64;
  document @1 :Data;        # JSON, zstd
}

# A request handed to a daemon of another data centre, one hop at most.
struct ForwardRequest {
  path @0 :Text;
  body @1 :Data;
  workspace @2 :Text;
  key @3 :Text;
  deadlineMilliseconds @4 :UInt32;
  streamed @5 :Bool;
  online @6 :Bool;
  requestId @7 :Text;
}

struct ForwardHead {
  status @0 :UInt16;
  contentType @1 :Text;
}

struct ForwardBody {
  data @0 :Data;
}

struct ForwardEnd {
  error @0 :Data;           # JSON error object, empty when whole
}

struct StatisticsPull {
  kind @0 :Text;            # burn or status
}

struct Statistics {
  document @0 :Data;        # JSON
}

# First message of each side of a link. The digests of the later ones cover
# both nonces, the direction and the number of the frame.
struct Hello {
  instance @0 :Text;
  dataCentre @1 :Text;
  region @2 :Text;
  nonce @3 :Data;
}

struct Failure {
  error @0 :Data;           # JSON error object
}

struct PeerMessage {
  call @0 :UInt64;          # matches answers to calls on a link; 0 for none
  union {
    heartbeat @1 :Heartbeat;
    notice @2 :Notice;
    configurationPull @3 :ConfigurationPull;
    configurationDocument @4 :ConfigurationDocument;
    forwardRequest @5 :ForwardRequest;
    forwardHead @6 :ForwardHead;
    forwardBody @7 :ForwardBody;
    forwardEnd @8 :ForwardEnd;
    forwardCancel @9 :Void;
    statisticsPull @10 :StatisticsPull;
    statistics @11 :Statistics;
    hello @12 :Hello;
    failure @13 :Failure;
    noticeAnswer @14 :NoticeAnswer;
  }
}
