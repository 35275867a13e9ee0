@0xd3a1c0f5b7e94a61;
# Messages between shallotstand processes. Fields are only ever added, so that
# processes of adjacent releases understand each other during an upgrade.

struct Span {
  version @0 :Text;
  tokens @1 :UInt32;
}

struct EndpointInfo {
  name @0 :Text;
  service @1 :Text;
  zone @2 :Text;
  incarnation @3 :Text;
  version @4 :Text;
}

struct Peer {
  processId @0 :Text;
  role @1 :Text;
  zone @2 :Text;
  host @3 :Text;
  port @4 :UInt16;
}

struct QuarantinedRequest {
  fingerprint @0 :Data;
  leftMs @1 :UInt32;
}

struct Hello {
  processId @0 :Text;
  role @1 :Text;
  zone @2 :Text;
  incarnation @3 :Text;
  revision @4 :UInt64;
  roster @5 :List(Peer);
  endpoints @6 :List(EndpointInfo);
  suspects @7 :List(Data);
  quarantined @8 :List(QuarantinedRequest);
  version @9 :Text;
}

struct Ping {
  sequence @0 :UInt64;
  revision @1 :UInt64;
  monotonicMs @2 :UInt64;
}

struct Request {
  stream @0 :UInt64;
  requestId @1 :Text;
  attempt @2 :UInt16;
  endpoint @3 :Text;
  account @4 :Text;
  path @5 :Text;
  body @6 :Data;
  deadlineMs @7 :UInt32;
  priority @8 :Int8;
  flushMs @9 :UInt16;
  wholeAnswer @10 :Bool;
  suspect @11 :Bool;
  fingerprint @12 :Data;
  notRunStatuses @13 :List(UInt16);
  retain @14 :Bool;
}

struct Submit {
  requests @0 :List(Request);
}

struct Frame {
  stream @0 :UInt64;
  status @1 :UInt16;
  contentType @2 :Text;
  data @3 :Data;
  end @4 :Bool;
  code @5 :UInt16;
  reason @6 :Text;
  spans @7 :List(Span);
  promptTokens @8 :UInt32;
  completionTokens @9 :UInt32;
  record @10 :UInt64;
  source @11 :Text;
  window @12 :UInt64;
}

struct Chunk {
  stream @0 :UInt64;
  data @1 :Data;
}

struct Chunks {
  chunks @0 :List(Chunk);
}

struct Frames {
  frames @0 :List(Frame);
}

struct Cancel {
  streams @0 :List(UInt64);
}

struct EndpointLoad {
  name @0 :Text;
  running @1 :UInt32;
  queued @2 :UInt32;
  slots @3 :UInt32;
  freeBlocks @4 :UInt32;
  version @5 :Text;
  state @6 :Text;
  incarnation @7 :Text;
}

struct Load {
  endpoints @0 :List(EndpointLoad);
}

struct LoadSample {
  index @0 :UInt16;
  running @1 :UInt32;
  queued @2 :UInt32;
  freeBlocks @3 :UInt32;
}

struct LoadSamples {
  samples @0 :List(LoadSample);
  addedIndexes @1 :List(UInt16);
  added @2 :List(UInt64);
  evictedIndexes @3 :List(UInt16);
  evicted @4 :List(UInt64);
}

struct Crash {
  endpoint @0 :Text;
  incarnation @1 :Text;
  fingerprints @2 :List(Data);
  suspects @3 :List(Data);
}

struct Release {
  fingerprints @0 :List(Data);
}

struct Config {
  revision @0 :UInt64;
  base @1 :UInt64;
  digest @2 :Text;
  content @3 :Data;
}

struct ConfigAsk {
  revision @0 :UInt64;
}

struct ConfigHeld {
  revision @0 :UInt64;
  digest @1 :Text;
}

struct Withdraw {
  keyHashes @0 :List(Data);
}

struct Order {
  orderId @0 :Text;
  scope @1 :Text;
  epoch @2 :UInt64;
  endpoint @3 :Text;
  action @4 :Text;
  argument @5 :Text;
  expiresMs @6 :UInt64;
}

struct OrderResult {
  orderId @0 :Text;
  code @1 :UInt16;
  reason @2 :Text;
}

struct UsageRecord {
  number @0 :UInt64;
  account @1 :Text;
  service @2 :Text;
  window @3 :UInt64;
  promptTokens @4 :UInt32;
  completionTokens @5 :UInt32;
  requestId @6 :Text;
}

struct Usage {
  source @0 :Text;
  records @1 :List(UsageRecord);
}

struct UsageAck {
  source @0 :Text;
  number @1 :UInt64;
}

struct AccountShare {
  account @0 :Text;
  tokens @1 :UInt64;
  service @2 :Text;
  running @3 :UInt32;
  waiting @4 :UInt32;
  weight @5 :Float64;
}

struct Share {
  accounts @0 :List(AccountShare);
}

struct RetainedSample {
  requestId @0 :Text;
  data @1 :Data;
  spans @2 :List(Span);
  promptTokens @3 :UInt32;
  completionTokens @4 :UInt32;
}

struct SampleAsk {
  job @0 :Text;
}

struct SampleOffer {
  samples @0 :List(RetainedSample);
}

struct SampleRelease {
  job @0 :Text;
  step @1 :UInt32;
}

struct Suspicion {
  endpoints @0 :List(Text);
}

struct EndpointUse {
  endpoint @0 :Text;
  running @1 :UInt16;
  paceUs @2 :UInt32;
  hasStatement @3 :Bool;
  statementAgeMs @4 :UInt32;
  hasLimit @5 :Bool;
  limitPer1000S @6 :UInt32;
  waiting @7 :UInt16;
  workLeftMs @8 :UInt32;
}

struct Presence {
  node @0 :Text;
  processId @1 :Text;
  reachesStore @2 :Bool;
  uses @3 :List(EndpointUse);
  batches @4 :List(Text);
  zone @5 :Text;
  processorShare @6 :UInt16;
  keepsBatches @7 :Bool;
}

struct StoredObject {
  name @0 :Text;
  revision @1 :UInt64;
  isRemoved @2 :Bool;
  hasContent @3 :Bool;
  content @4 :Data;
}

struct StoreChanges {
  kind @0 :Text;
  fromRevision @1 :UInt64;
  toRevision @2 :UInt64;
  objects @3 :List(StoredObject);
}

struct BatchAsk {
  number @0 :UInt64;
  batch @1 :Text;
  content @2 :Data;
}

struct BatchAnswer {
  number @0 :UInt64;
  code @1 :UInt16;
  content @2 :Data;
}

struct CrashReport {
  fingerprint @0 :Data;
  endpoint @1 :Text;
  startedMs @2 :UInt64;
  ageMs @3 :UInt32;
  isConfirmed @4 :Bool;
}

struct CrashNews {
  reports @0 :List(CrashReport);
  cleared @1 :List(Data);
}

struct Envelope {
  union {
    hello @0 :Hello;
    ping @1 :Ping;
    submit @2 :Submit;
    frames @3 :Frames;
    cancel @4 :Cancel;
    load @5 :Load;
    crash @6 :Crash;
    config @7 :Config;
    configAsk @8 :ConfigAsk;
    configHeld @9 :ConfigHeld;
    withdraw @10 :Withdraw;
    order @11 :Order;
    orderResult @12 :OrderResult;
    usage @13 :Usage;
    usageAck @14 :UsageAck;
    share @15 :Share;
    chunks @16 :Chunks;
    release @17 :Release;
    sampleAsk @18 :SampleAsk;
    sampleOffer @19 :SampleOffer;
    sampleRelease @20 :SampleRelease;
    loadSamples @21 :LoadSamples;
    suspicion @22 :Suspicion;
    presence @23 :Presence;
    storeChanges @24 :StoreChanges;
    batchAsk @25 :BatchAsk;
    batchAnswer @26 :BatchAnswer;
    crashNews @27 :CrashNews;
  }
}
