package org.comfreygap.control;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.comfreygap.consensus.RaftLog;
import org.comfreygap.consensus.RaftOptions;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.InvalidSettingsException;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.Program;
import org.comfreygap.runtime.Timeline;
import org.comfreygap.settings.Fault;

/**
 * The program {@code comfreygap-control}: an instance of the replicated log with the settings tree
 * and the services for gateways, sidecars and operators.
 *
 * <pre>{@code
 * bin/comfreygap-control settings.yaml
 * }</pre>
 *
 * <p>Thread safety: used once.
 *
 * @since 0.1
 */
public final class ControlMain {

  // Log entries stay in memory until the next snapshot; at about 500 bytes each they take 3 MB.
  static final int SNAPSHOT_ENTRIES = 5_000;
  static final int TRAILING_ENTRIES = 1_000;

  private ControlMain() {}

  /** Runs the program with the settings file as its only argument. */
  public static void main(String[] args) {
    Program.run("comfreygap-control", args, ControlMain::start);
  }

  /**
   * Starts an instance from its settings file.
   *
   * @throws Exception when the settings are invalid, or an address or the data folder cannot be
   *     used
   */
  public static AutoCloseable start(Path settingsFile) throws Exception {
    return start(settingsFile, publisher -> List.of(), ControlMain::refuseWithoutFolder);
  }

  /**
   * Starts an instance with further HTTP resources.
   *
   * @param resources creates Jersey resources that use the publisher
   * @param withoutFolder starts the fallback for settings without a data folder: such an instance
   *     cannot store a replica and must not vote
   * @throws Exception when the settings are invalid, or an address or the data folder cannot be
   *     used
   */
  public static AutoCloseable start(
      Path settingsFile,
      Function<Publisher, List<Object>> resources,
      Program.Launcher withoutFolder)
      throws Exception {
    return start(settingsFile, resources, DutyDialect.NONE, withoutFolder);
  }

  /**
   * Starts an instance with further HTTP resources on a platform that asks for duties.
   *
   * @param resources creates Jersey resources that use the publisher
   * @param dialect form of the platform's calls that only the holder of duties makes
   * @param withoutFolder starts the fallback for settings without a data folder: such an instance
   *     cannot store a replica and must not vote
   * @throws Exception when the settings are invalid, or an address or the data folder cannot be
   *     used
   * @since 0.8
   */
  public static AutoCloseable start(
      Path settingsFile,
      Function<Publisher, List<Object>> resources,
      DutyDialect dialect,
      Program.Launcher withoutFolder)
      throws Exception {
    ControlSettings settings = ControlSettings.load(settingsFile);
    Optional<Path> dataFolder = settings.dataFolder();
    return dataFolder.isPresent()
        ? startReplica(settings, dataFolder.get(), resources, dialect)
        : withoutFolder.launch(settingsFile);
  }

  private static AutoCloseable refuseWithoutFolder(Path settingsFile)
      throws InvalidSettingsException {
    throw new InvalidSettingsException(
        settingsFile.toString(), List.of(new Fault("dataFolder", "nothing", "a folder to write")));
  }

  private static AutoCloseable startReplica(
      ControlSettings settings,
      Path dataFolder,
      Function<Publisher, List<Object>> resources,
      DutyDialect dialect)
      throws Exception {
    PeerSecurity security = PeerSecurity.from(settings.file());
    Closer closer = new Closer();
    try {
      EventLog events =
          closer.register(
              new EventLog(
                  settings.processId(),
                  new HybridClock(System::currentTimeMillis),
                  new Timeline(Timeline.DEFAULT_CAPACITY)));
      ControlState state = new ControlState();
      Files.createDirectories(dataFolder);
      RaftLog log =
          closer.register(
              RaftLog.open(
                  RaftOptions.builder()
                      .replicaId(settings.replicaId())
                      .dataFolder(dataFolder)
                      .address(settings.replicationAddress())
                      .initialMembers(settings.initialMembers())
                      .security(security)
                      .events(events)
                      .stateMachine(state)
                      .snapshotEntries(SNAPSHOT_ENTRIES)
                      .trailingEntries(TRAILING_ENTRIES)
                      .build()));
      closer.register(
          ControlServer.start(settings, state, log, security, events, resources, dialect));
      return closer;
    } catch (Exception e) {
      closer.close();
      throw e;
    }
  }
}
