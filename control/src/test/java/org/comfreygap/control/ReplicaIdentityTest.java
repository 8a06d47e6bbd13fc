package org.comfreygap.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a replica that lost its disk and votes again under its old id. */
class ReplicaIdentityTest {

  private static final List<String> SEEDS = List.of("10.0.0.1:8229", "10.0.1.1:8229");

  @TempDir private Path folder;

  @Test
  void seedsCreateLogUnderTheirAddressesAtFirstStart() throws IOException {
    ReplicaIdentity identity = ReplicaIdentity.open(folder, "10.0.1.1:7601", SEEDS, true);

    assertThat(identity.replicaId()).isEqualTo("10.0.1.1");
    assertThat(identity.initialMembers())
        .extracting(ReplicaMember::getAddress)
        .containsExactly("10.0.0.1:7601", "10.0.1.1:7601");
  }

  @Test
  void keepsIdentityWhenSeedsChange() throws IOException {
    ReplicaIdentity.open(folder, "10.0.1.1:7601", SEEDS, true);

    ReplicaIdentity later =
        ReplicaIdentity.open(folder, "10.0.1.1:7601", List.of("10.0.9.9:8229"), false);

    assertThat(later.replicaId()).isEqualTo("10.0.1.1");
    assertThat(later.initialMembers()).hasSize(2);
  }

  @Test
  void emptyFolderGetsNewIdentityThatJoins() throws IOException {
    ReplicaIdentity first =
        ReplicaIdentity.open(folder.resolve("a"), "10.0.1.1:7601", SEEDS, false);
    ReplicaIdentity second =
        ReplicaIdentity.open(folder.resolve("b"), "10.0.1.1:7601", SEEDS, false);

    assertThat(first.replicaId()).startsWith("10.0.1.1.").isNotEqualTo(second.replicaId());
    assertThat(first.initialMembers()).isEmpty();
  }

  @Test
  void nonSeedJoinsAtFirstStart() throws IOException {
    ReplicaIdentity identity = ReplicaIdentity.open(folder, "10.0.5.5:7601", SEEDS, true);

    assertThat(identity.initialMembers()).isEmpty();
  }
}
