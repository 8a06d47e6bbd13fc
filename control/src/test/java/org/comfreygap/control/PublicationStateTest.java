package org.comfreygap.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.comfreygap.control.Command.Author;
import org.comfreygap.control.Command.DocumentChange;
import org.junit.jupiter.api.Test;

/**
 * Guards against a publication that replaces a newer one, and against a publication lost in a
 * snapshot.
 */
class PublicationStateTest {

  private static final List<String> PREFIXES = List.of("/routing/pools", "/routing/publication");

  private final ControlState state = new ControlState(() -> 0L);
  private long index;

  @Test
  void olderVersionIsIgnored() {
    publish(7, "seven", "a", "b");
    ChangeResult older = publish(3, "three", "c");

    assertThat(older.code()).isEqualTo(ChangeResult.Code.OK);
    assertThat(state.publication().orElseThrow().source()).isEqualTo("seven");
    assertThat(pools()).containsExactly("/routing/pools/a", "/routing/pools/b");
  }

  @Test
  void sameVersionWithOtherContentChangesNothing() {
    publish(7, "first", "a");
    publish(7, "second", "b");

    assertThat(state.publication().orElseThrow().source()).isEqualTo("first");
    assertThat(pools()).containsExactly("/routing/pools/a");
  }

  @Test
  void omittedDocumentsAreDeleted() {
    publish(1, "one", "a", "b");
    publish(2, "two", "b", "c");

    assertThat(pools()).containsExactly("/routing/pools/b", "/routing/pools/c");
  }

  @Test
  void equalDocumentsDoNotRaiseTheRevision() {
    publish(1, "one", "a");
    long before = state.revision();
    publish(2, "one again", "a");

    // Only the version document has changed.
    assertThat(state.revision()).isEqualTo(before + 1);
  }

  @Test
  void snapshotKeepsThePublication() throws IOException {
    publish(7, "seven", "a");
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    state.writeSnapshot(out);
    ControlState restored = new ControlState(() -> 0L);

    restored.readSnapshot(new ByteArrayInputStream(out.toByteArray()));

    assertThat(restored.publication()).isEqualTo(state.publication());
    assertThat(restored.revision()).isEqualTo(state.revision());
  }

  /**
   * Guards against routes that open after the last customer is gone: by an older publication, by
   * other content under the version held, or by a snapshot that lacks the policy.
   */
  @Test
  void keyPolicyOutlastsOlderAndEqualVersionsAndSnapshots() throws IOException {
    List<String> prefixes = List.of("/routing/key-policy", "/teams/main/customers");
    String policy = "{\"required\":true}";
    apply(5, prefixes, new DocumentChange("/teams/main/customers/desk", "{}"));
    apply(9, prefixes, new DocumentChange("/routing/key-policy", policy));
    apply(9, prefixes);
    apply(7, prefixes, new DocumentChange("/teams/main/customers/desk", "{}"));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    state.writeSnapshot(out);
    ControlState restored = new ControlState(() -> 0L);
    restored.readSnapshot(new ByteArrayInputStream(out.toByteArray()));

    for (ControlState one : List.of(state, restored)) {
      assertThat(one.<String>readSettings(s -> s.tree().document("/routing/key-policy").orElse("")))
          .isEqualTo(policy);
      assertThat(one.<List<String>>readSettings(s -> s.tree().pathsBelow("/teams"))).isEmpty();
    }
  }

  private void apply(long version, List<String> prefixes, DocumentChange... documents) {
    Author author = new Author("p" + version + "-" + index, "test", 0);
    state.apply(
        ++index,
        Codec.encode(
            new Command.Publish(index, author, version, prefixes, List.of(documents), "v")));
  }

  private ChangeResult publish(long version, String source, String... pools) {
    List<DocumentChange> documents = new ArrayList<>();
    for (String pool : pools) {
      documents.add(
          new DocumentChange(
              "/routing/pools/" + pool, "{\"healthPath\":\"/health\",\"maxConnections\":5}"));
    }
    documents.add(new DocumentChange("/routing/publication", "{\"version\":" + version + "}"));
    Command.Publish command =
        new Command.Publish(
            index, new Author("p" + version, "test", 0), version, PREFIXES, documents, source);
    return Codec.decodeResult(state.apply(++index, Codec.encode(command)), ChangeResult.class);
  }

  private List<String> pools() {
    return state.readSettings(store -> store.tree().pathsBelow("/routing/pools"));
  }
}
