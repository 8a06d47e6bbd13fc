package org.comfreygap.control;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.runtime.PortBlock;

/**
 * The identity of a replica whose settings name only seeds, stored in its data folder.
 *
 * <p>At the first start of a deployment each seed uses its address as id and creates the log with
 * the others. A replica that later starts with an empty folder generates a new id, since it may
 * have lost votes cast under the old one, and joins through the leader.
 *
 * <p>Invariant: the identity is synced to disk before it is used, and never changes while the
 * folder exists. Thread safety: immutable.
 */
final class ReplicaIdentity {

  private static final String FILE = "replica.json";
  private static final int RANDOM_ID_CHARACTERS = 12;

  private final Stored stored;

  private ReplicaIdentity(Stored stored) {
    this.stored = stored;
  }

  /** The JSON content of the identity file. */
  private record Stored(
      @JsonProperty("replicaId") String replicaId,
      @JsonProperty("initialMembers") List<Member> initialMembers) {}

  private record Member(
      @JsonProperty("replicaId") String replicaId, @JsonProperty("address") String address) {}

  /**
   * Reads the identity, or generates and stores one.
   *
   * @param replicationAddress {@code ip:port} of this replica
   * @param seeds {@code ip:port} of control instances; only the addresses are used, since the ports
   *     are not those of replication
   * @param createLog true at the first start of the whole deployment
   */
  static ReplicaIdentity open(
      Path folder, String replicationAddress, List<String> seeds, boolean createLog)
      throws IOException {
    Files.createDirectories(folder);
    Path file = folder.resolve(FILE);
    if (Files.exists(file)) {
      return new ReplicaIdentity(Codec.MAPPER.readValue(Files.readAllBytes(file), Stored.class));
    }
    String host = PortBlock.hostOf(replicationAddress);
    String port = replicationAddress.substring(host.length());
    List<String> hosts = seeds.stream().map(PortBlock::hostOf).distinct().toList();
    Stored identity;
    if (createLog && hosts.contains(host)) {
      List<Member> members = new ArrayList<>();
      hosts.forEach(seed -> members.add(new Member(seed, seed + port)));
      identity = new Stored(host, members);
    } else {
      String randomId =
          UUID.randomUUID().toString().replace("-", "").substring(0, RANDOM_ID_CHARACTERS);
      identity = new Stored(host + "." + randomId, List.of());
    }
    write(folder, file, identity);
    return new ReplicaIdentity(identity);
  }

  String replicaId() {
    return stored.replicaId;
  }

  /**
   * Returns the members that create the log together; empty for a replica that joins an existing
   * log.
   */
  List<ReplicaMember> initialMembers() {
    return stored.initialMembers.stream()
        .map(member -> new ReplicaMember(member.replicaId, member.address, true))
        .toList();
  }

  private static void write(Path folder, Path file, Stored identity) throws IOException {
    Path temporary = folder.resolve(FILE + ".new");
    ByteBuffer bytes = ByteBuffer.wrap(Codec.MAPPER.writeValueAsBytes(identity));
    try (FileChannel channel =
        FileChannel.open(
            temporary,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      while (bytes.hasRemaining()) {
        channel.write(bytes);
      }
      channel.force(true);
    }
    Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
      directory.force(true);
    }
  }
}
