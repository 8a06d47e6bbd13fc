package org.comfreygap.control;

import com.google.inject.Guice;
import com.google.inject.Injector;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.Timeline;

/** An in-memory control instance without servers. */
final class Node implements AutoCloseable {

  final ControlState state;
  final MemoryCluster.Replica log;
  final ControlHandler handler;
  private final Injector injector;
  private final EventLog events;

  Node(MemoryCluster cluster, String id) throws Exception {
    this.state = new ControlState();
    this.log = cluster.add(id, state);
    this.events = new EventLog(id, new HybridClock(System::currentTimeMillis), new Timeline(1_000));
    ControlSettings settings =
        ControlSettings.parse(
            """
            processId: %s
            zone: z1
            adminAddress: 127.0.0.1:1
            control: ["127.0.0.1:2"]
            security: {sharedKeyFile: unused}
            replicaId: %s
            rpcAddress: 127.0.0.1:2%s
            replicationAddress: 127.0.0.1:3
            httpAddress: 127.0.0.1:4
            dataFolder: unused
            operators: []
            """
                .formatted(id, id, id.substring(1)));
    this.injector = Guice.createInjector(new ControlModule(settings, state, log, events));
    this.handler = injector.getInstance(ControlHandler.class);
  }

  <T> T get(Class<T> type) {
    return injector.getInstance(type);
  }

  /** Returns the leader's state; the node must lead. */
  LeaderTerm term() {
    return get(Leadership.class).current().orElseThrow();
  }

  /** Writes documents as an operator would. */
  ChangeResult put(String operation, String... pathsAndDocuments) {
    java.util.List<Command.DocumentChange> changes = new java.util.ArrayList<>();
    for (int i = 0; i < pathsAndDocuments.length; i += 2) {
      changes.add(new Command.DocumentChange(pathsAndDocuments[i], pathsAndDocuments[i + 1]));
    }
    ControlSettings.Operator root = new ControlSettings.Operator("root", "", "/");
    return get(SettingsController.class).change(root, operation, java.util.List.of(), changes);
  }

  @Override
  public void close() {
    events.close();
  }
}
