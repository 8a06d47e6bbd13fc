package org.comfreygap.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import org.junit.jupiter.api.Test;

/**
 * Checks the bounds of section 1.2 of the design page: 32 MB of heap, and a restart in under 3 s.
 */
class StateSizeTest {

  private static final long MAX_HEAP_BYTES = 32L << 20;
  private static final long MAX_RESTART_NANOS = 3_000_000_000L;
  private static final int CHANGES = 100_000;

  /** Guards against state that grows with the number of changes, and against a slow restart. */
  @Test
  void designFleetFitsInHeapAndRestartsInTime() throws Exception {
    long before = ControlMeasurement.heap();
    ControlState state = ControlMeasurement.fleet(12_000);
    ControlMeasurement.applyChanges(state, 0, CHANGES);
    assertThat(ControlMeasurement.heap() - before).isLessThan(MAX_HEAP_BYTES);
    ByteArrayOutputStream snapshot = new ByteArrayOutputStream();
    state.writeSnapshot(snapshot);
    long revision = state.revision();
    byte[][] commands = new byte[ControlMain.SNAPSHOT_ENTRIES][];
    for (int i = 0; i < commands.length; i++) {
      commands[i] = Codec.encode(ControlMeasurement.changeCommand(CHANGES + i));
    }
    // A restart reads the newest snapshot and applies at most the entries up to the next one.
    long start = System.nanoTime();
    ControlState restarted = new ControlState();
    restarted.readSnapshot(new ByteArrayInputStream(snapshot.toByteArray()));
    for (byte[] command : commands) {
      restarted.apply(1, command);
    }
    assertThat(System.nanoTime() - start).isLessThan(MAX_RESTART_NANOS);
    assertThat(restarted.revision()).isEqualTo(revision + commands.length);
  }

  /** Guards against a copy read from a snapshot that needs more memory than the original. */
  @Test
  void stateReadFromSnapshotFitsInHeap() throws Exception {
    ByteArrayOutputStream snapshot = new ByteArrayOutputStream();
    ControlState state = ControlMeasurement.fleet(12_000);
    ControlMeasurement.applyChanges(state, 0, 30_000);
    state.writeSnapshot(snapshot);
    long before = ControlMeasurement.heap();
    ControlState copy = new ControlState();
    copy.readSnapshot(new ByteArrayInputStream(snapshot.toByteArray()));
    assertThat(ControlMeasurement.heap() - before).isLessThan(MAX_HEAP_BYTES);
    assertThat(copy.revision()).isEqualTo(state.revision());
  }
}
