@0x9c1f3e5a7b2d4860;
# Messages between gateways. Names are sent as 64-bit hashes; the registration
# in the store gives them in full.

struct Load {
  upstream @0 :UInt64;
  online @1 :UInt16;      # online requests in flight, sent by this gateway
  batch @2 :UInt16;       # batch items in flight, sent by this gateway
  isReported @3 :Bool;    # the upstream has just told its load:
  running @4 :UInt16;     # requests that it runs, from whomever
  waiting @5 :UInt16;     # requests in its queue
  isUnreachable @6 :Bool; # the sender has just failed to connect to it
  departure @7 :UInt64;   # incarnation that has just announced its shutdown
  limit @8 :Limit;
  slownessPercent @9 :UInt16; # reported with the load: how long work takes on
                          # its machine now, 100 is usual; 0: not told
  pace @10 :Pace;
  runPercent @11 :UInt16; # how long a run there that has just ended took, of
                          # the usual of such runs at the sender; 0: not told
  heardCentiseconds @12 :UInt16; # since the sender has heard it; 0: never
}

struct Total {
  upstream @0 :UInt64;
  online @1 :UInt16;      # online requests in flight, sent by all gateways
  batch @2 :UInt16;       # batch items in flight, sent by all gateways
  limit @3 :Limit;
  pace @4 :Pace;
}

struct Pace {             # of an upstream that has started or recovered
  inFlight @0 :UInt16;    # requests that it gets from all gateways together
  ageMs @1 :UInt32;       # since the answer that set it
}

struct Limit {            # of the requests that an upstream accepts
  isSet @0 :Bool;         # false: it has ended its limit
  perSecond @1 :Float64;
  ageMs @2 :UInt32;       # since the answer that said so
}

struct End {
  upstream @0 :UInt64;    # its incarnation
  ageMs @1 :UInt32;
  requests @2 :List(List(UInt64)); # keys of the requests in flight
  fingerprints @3 :List(UInt64);   # the keys that belong to one request
  isConfirmed @4 :Bool;   # false: the sender's link may be to blame
}

struct OtherEnd {
  upstream @0 :UInt64;    # its incarnation
  ageMs @1 :UInt32;
  hasUnread @2 :Bool;     # it may not have read requests in flight
}

struct Unproven {
  upstream @0 :UInt64;    # its incarnation
  ageMs @1 :UInt32;       # since the first sign
}

struct Survival {
  keys @0 :List(UInt64);  # of a request
  ageMs @1 :UInt32;
}

struct Block {
  keys @0 :List(UInt64);  # no request may have all of these
  ageMs @1 :UInt32;
  failedTrials @2 :UInt16;
  voidTrials @3 :UInt16;  # they told nothing
  isTried @4 :Bool;       # a trial is in flight at the sender
}

struct Stream {
  key @0 :UInt64;         # hash of the request's identifier, or fingerprint
  version @1 :UInt64;     # that began it; 0: not known, all ones: several
}

struct WorkspaceUse {     # of one workspace's rate
  workspace @0 :UInt64;   # hash of its name
  isAnswer @1 :Bool;      # by a keeper of the rate
  # Of a use, at the sender:
  admitted @2 :UInt32;    # requests since its start
  refused @3 :UInt32;     # the same
  demand @4 :Float32;     # requests a second of late
  recent @5 :UInt16;      # admitted requests of late
  # Of both:
  fraction @6 :Float32;   # of the requests that are admitted; of an answer:
                          # that the receiver is to admit
  # Of an answer:
  isShareTold @7 :Bool;
  share @8 :Float32;      # the receiver's part of the demand of all
}

struct WorkspaceLoad {    # of one workspace at one service, at the sender
  workspace @0 :UInt64;   # hash of its name and the service's
  demand @1 :UInt32;      # work that it has recently asked for, tokens a second
}

struct FleetMessage {
  sender @0 :UInt64;
  incarnation @1 :UInt64;   # start by its clock, microseconds since the epoch
  sequence @2 :UInt64;
  isFull @3 :Bool;          # loads that are not named are zero
  loads @4 :List(Load);
  # The rest is set in full messages only.
  configuration @5 :UInt64; # store revision of the configuration in force
  upstreams @6 :UInt64;     # store revision of the last change of upstreams
  runsBatch @7 :Bool;
  isLeaving @8 :Bool;
  reachesStore @9 :Bool;
  items @10 :List(UInt64);  # items that run here
  wantsReply @11 :Bool;     # the sender has just started
  heard @12 :List(UInt64);  # gateways that run items and are heard here
  region @13 :UInt64;       # hash of the sender's region
  beatMs @14 :UInt16;       # time until the next full message, milliseconds
  totals @15 :List(Total);  # for other regions: the load of the sender's
  departures @16 :List(UInt64); # incarnations that announced their shutdown
  # Set in any message.
  ends @17 :List(End);
  survivals @18 :List(Survival);
  blocks @19 :List(Block);
  streams @20 :List(Stream);
  askedStreams @21 :List(UInt64); # keys of streams whose version it asks for
  # In full messages only.
  runsOnline @22 :Bool;     # it runs requests, also those of other gateways
  lostPercent @23 :UInt8;   # of the upstreams that it cannot reach
  memoryMs @24 :UInt32;     # time for which it remembers streams; all ones: it
                            # has forgotten none
  progress @25 :List(UInt16); # of each of the items: changes with its events
                            # and runs
  tellsWaiting @26 :Bool;   # items include those between two runs and those
                            # whose result is being stored
  finished @27 :List(UInt64); # jobs, each with the gateways that share its
                            # items: the sender's have results in the store
  jobs @28 :UInt64;         # store revision of the last change of jobs
  crowdedJobs @30 :List(UInt64); # jobs with more items between two runs than
                            # the items above name; 0: any job
  # Set in any message.
  otherEnds @29 :List(OtherEnd); # that no request may have caused
  workspaceUses @31 :List(WorkspaceUse); # to keepers of rates and from them
  workspaceLoads @32 :List(WorkspaceLoad); # only while there is too little room
  storeAgeMs @33 :UInt32;   # since the store confirmed the configuration in
                            # force, of the revision above; 0: not told
  # In full messages only.
  isCrowded @34 :Bool;      # it is short of processor or link itself
  # Set in any message: time since the store had nothing newer than the
  # revision above; 0: not told.
  configurationSeenMs @35 :UInt32;
  upstreamsSeenMs @36 :UInt32;
  jobsSeenMs @37 :UInt32;
  unproven @38 :List(Unproven); # upstreams whose processes may have ended
  # In full messages only.
  jobRoomKib @39 :UInt32;   # room for descriptions of jobs, and 1; 0: not told
}
