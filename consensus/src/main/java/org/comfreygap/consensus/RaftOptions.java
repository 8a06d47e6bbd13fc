package org.comfreygap.consensus;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.PeerSecurity;

/**
 * Configuration of a {@link RaftLog}.
 *
 * <pre>{@code
 * RaftLog log =
 *     RaftLog.open(
 *         RaftOptions.builder()
 *             .replicaId("control-1")
 *             .dataFolder(folder)
 *             .address("10.0.0.1:7400")
 *             .initialMembers(members)
 *             .security(security)
 *             .events(events)
 *             .stateMachine(stateMachine)
 *             .build());
 * }</pre>
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public final class RaftOptions {

  private final Builder values;

  private RaftOptions(Builder values) {
    this.values = values;
  }

  /** Returns a builder with default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the id of this replica. */
  public String replicaId() {
    return values.replicaId;
  }

  /** Returns the replication address of this replica as {@code ip:port}. */
  public String address() {
    return values.address;
  }

  /** Returns the members that bootstrap the log together, sorted by id. */
  public List<ReplicaMember> initialMembers() {
    return values.initialMembers;
  }

  /** Returns the settings for authentication between replicas. */
  public PeerSecurity security() {
    return values.security;
  }

  /** Returns the log that records events. */
  public EventLog events() {
    return values.events;
  }

  /** Returns the state machine that applies the commands. */
  public StateMachine stateMachine() {
    return values.stateMachine;
  }

  /** Returns the timing constants. */
  public RaftTiming timing() {
    return values.timing;
  }

  /** Returns the number of applied entries after which a snapshot is written. */
  public int snapshotEntries() {
    return values.snapshotEntries;
  }

  /** Returns the number of entries before a snapshot kept for slightly lagging followers. */
  public int trailingEntries() {
    return values.trailingEntries;
  }

  /** Returns the callback invoked once when a failure stops the replica, such as a failed sync. */
  public Consumer<Exception> failureHandler() {
    return values.failureHandler;
  }

  LongSupplier nanoClock() {
    return values.nanoClock;
  }

  LongSupplier wallClock() {
    return values.wallClock;
  }

  int segmentBytes() {
    return values.segmentBytes;
  }

  long seed() {
    return values.seed;
  }

  Disk disk() throws java.io.IOException {
    return values.disk != null ? values.disk : FileDisk.open(values.dataFolder);
  }

  Transport transport() {
    return values.transport != null
        ? values.transport
        : new ThriftTransport(values.address, values.security);
  }

  /** Builds {@link RaftOptions}. Thread safety: one thread. */
  public static final class Builder {

    private static final int SNAPSHOT_ENTRIES = 20_000;
    private static final int TRAILING_ENTRIES = 2_000;
    // Halts instead of exiting, because shutdown hooks could block on a failed disk.
    private static final Consumer<Exception> HALT_PROCESS = e -> Runtime.getRuntime().halt(70);

    private String replicaId;
    private Path dataFolder;
    private String address;
    private List<ReplicaMember> initialMembers = List.of();
    private PeerSecurity security;
    private EventLog events;
    private StateMachine stateMachine;
    private RaftTiming timing = RaftTiming.STANDARD;
    private int snapshotEntries = SNAPSHOT_ENTRIES;
    private int trailingEntries = TRAILING_ENTRIES;
    private Consumer<Exception> failureHandler = HALT_PROCESS;
    private LongSupplier nanoClock = System::nanoTime;
    private LongSupplier wallClock = System::currentTimeMillis;
    private int segmentBytes = LogStore.SEGMENT_BYTES;
    private long seed = System.nanoTime();
    private Disk disk;
    private Transport transport;

    private Builder() {}

    /** Sets the id, which is never reused: a replica that lost its disk needs a new one. */
    public Builder replicaId(String value) {
      replicaId = value;
      return this;
    }

    /** Sets the folder for the log and the snapshots. */
    public Builder dataFolder(Path value) {
      dataFolder = value;
      return this;
    }

    /** Sets the replication address of this replica as {@code ip:port}. */
    public Builder address(String value) {
      address = value;
      return this;
    }

    /** Sets the members that bootstrap the log together; the same list at each of them. */
    public Builder initialMembers(List<ReplicaMember> value) {
      List<ReplicaMember> sorted = new ArrayList<>(value);
      sorted.sort((a, b) -> a.getReplicaId().compareTo(b.getReplicaId()));
      initialMembers = List.copyOf(sorted);
      return this;
    }

    /** Sets the authentication between replicas. */
    public Builder security(PeerSecurity value) {
      security = value;
      return this;
    }

    /** Sets the log that records events. */
    public Builder events(EventLog value) {
      events = value;
      return this;
    }

    /** Sets the state machine that applies the commands. */
    public Builder stateMachine(StateMachine value) {
      stateMachine = value;
      return this;
    }

    /** Sets the timing constants. */
    public Builder timing(RaftTiming value) {
      timing = value;
      return this;
    }

    /** Sets the number of applied entries after which a snapshot is written. */
    public Builder snapshotEntries(int value) {
      snapshotEntries = value;
      return this;
    }

    /** Sets the number of entries before a snapshot kept for slightly lagging followers. */
    public Builder trailingEntries(int value) {
      trailingEntries = value;
      return this;
    }

    /** Sets the callback invoked once when a failure stops the replica; halts by default. */
    public Builder failureHandler(Consumer<Exception> value) {
      failureHandler = value;
      return this;
    }

    /** Returns the options. */
    public RaftOptions build() {
      Objects.requireNonNull(replicaId, "replicaId");
      Objects.requireNonNull(events, "events");
      Objects.requireNonNull(stateMachine, "stateMachine");
      if (disk == null) {
        Objects.requireNonNull(dataFolder, "dataFolder");
      }
      if (transport == null) {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(security, "security");
      }
      if (trailingEntries < 1 || snapshotEntries < 1) {
        throw new IllegalArgumentException(
            "given "
                + trailingEntries
                + " trailing and "
                + snapshotEntries
                + " snapshot entries, expected at least 1");
      }
      return new RaftOptions(this);
    }

    Builder nanoClock(LongSupplier value) {
      nanoClock = value;
      return this;
    }

    Builder wallClock(LongSupplier value) {
      wallClock = value;
      return this;
    }

    Builder segmentBytes(int value) {
      segmentBytes = value;
      return this;
    }

    Builder seed(long value) {
      seed = value;
      return this;
    }

    Builder disk(Disk value) {
      disk = value;
      return this;
    }

    Builder transport(Transport value) {
      transport = value;
      return this;
    }
  }
}
