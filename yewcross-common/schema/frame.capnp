@0xd2a17c0f9b3e4816;

struct Frame {
  version @0 :UInt16;
  id @1 :UInt64;
  reply @2 :Bool;
  from @3 :Text;
  site @4 :Text;
  body @5 :Data;
  blob @6 :Data;
}
