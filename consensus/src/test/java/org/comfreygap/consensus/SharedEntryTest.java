package org.comfreygap.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.comfreygap.protocol.generated.EntryKind;
import org.comfreygap.protocol.generated.LogEntry;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.junit.jupiter.api.Test;

/**
 * Tests that reading a log entry leaves it unchanged.
 *
 * <p>Guards against a committed command of zeros: the disk, the state machine and the senders read
 * the same entry on threads of their own, and a buffer that one of them replaces may be seen by
 * another one before it is filled.
 */
class SharedEntryTest {

  private static final byte[] COMMAND = "command".getBytes(StandardCharsets.US_ASCII);
  private static final int READERS = 4;
  private static final int ENTRIES = 50_000;

  @Test
  void readingAnEntryDoesNotReplaceItsPayload() {
    byte[] membership = Memberships.encode(List.of(new ReplicaMember("r1", "127.0.0.1:1", true)));
    LogEntry entry = new LogEntry(1, 1, EntryKind.MEMBERSHIP, ByteBuffer.wrap(membership));
    ByteBuffer before = entry.payload;

    LogRecord.entry(entry);
    new CoreLog(SnapshotMeta.NONE, 0, 0, List.of()).append(entry);

    assertThat(entry.payload).isSameAs(before);
    assertThat(LogRecord.payload(entry)).isEqualTo(membership);
  }

  @Test
  void readersOnSeveralThreadsGetTheWholePayload() throws Exception {
    LogEntry[] entries = new LogEntry[ENTRIES];
    Arrays.setAll(
        entries, i -> new LogEntry(i, 1, EntryKind.COMMAND, ByteBuffer.wrap(COMMAND.clone())));
    AtomicInteger damaged = new AtomicInteger();
    Thread[] readers = new Thread[READERS];
    for (int i = 0; i < READERS; i++) {
      readers[i] =
          new Thread(
              () -> {
                for (LogEntry entry : entries) {
                  damaged.addAndGet(Arrays.equals(LogRecord.payload(entry), COMMAND) ? 0 : 1);
                }
              });
    }
    for (Thread reader : readers) {
      reader.start();
    }
    for (Thread reader : readers) {
      reader.join();
    }
    assertThat(damaged).hasValue(0);
  }
}
