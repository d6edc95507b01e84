@0xb1f7c4a2d95e6038;
# Connections between the system's own processes.

interface Door {
  # What a process offers to whoever connects. Nothing but this can be called before the
  # caller has proved that it holds the cluster key.

  challenge @0 () -> (nonce :Data);
  # Draws a nonce that is valid for one `open` on this connection.

  open @1 (hello :Hello, nonce :Data, proof :Data, back :Link)
       -> (hello :Hello, proof :Data, link :Link);
  # Proves the cluster key in both directions and exchanges links.
}

interface Link {
  exchange @0 (frame :Data, checksum :UInt32) -> (frame :Data, checksum :UInt32);
  # Carries one request and its answer, each a whole message with its checksum.
}

struct Hello {
  role @0 :UInt8;
  incarnation @1 :UInt64;
  id @2 :UInt64;
}
