package org.comfreygap.control;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.comfreygap.control.ChangeResult.Code;
import org.comfreygap.control.Command.Author;
import org.comfreygap.control.Command.ChangeSettings;
import org.comfreygap.control.Command.DeletePrefix;
import org.comfreygap.control.Command.DocumentChange;
import org.comfreygap.control.Command.Expectation;
import org.comfreygap.control.Command.Rollback;
import org.comfreygap.control.Command.SettingsCommand;
import org.comfreygap.settings.DocumentKind;
import org.comfreygap.settings.Fault;
import org.comfreygap.settings.SettingsPath;
import org.comfreygap.settings.TreeRules;

/**
 * The settings tree with its revision, history and the results of operations.
 *
 * <p>Invariants: the revision increases by one with each change, and all documents of a change get
 * the same revision; changes are atomic; a repeated operation id returns its first result. Not
 * thread-safe.
 */
final class SettingsStore {

  private final SettingsTree tree = new SettingsTree();
  private final ChangeHistory history = new ChangeHistory();
  private final OperationResults operations = new OperationResults();
  // Interns operator names, which are few, to keep the entries small.
  private final Map<String, String> operatorNames = new HashMap<>();
  private long revision;

  SettingsTree tree() {
    return tree;
  }

  ChangeHistory history() {
    return history;
  }

  OperationResults operations() {
    return operations;
  }

  long revision() {
    return revision;
  }

  void revision(long restored) {
    revision = restored;
  }

  /** Applies a command, or returns the first result when it is a resend. */
  ChangeResult apply(SettingsCommand command) {
    Author author = command.author();
    String id = author.operator() + ":" + author.operationId();
    long digest = digest(command);
    Optional<OperationResults.Operation> first = operations.find(id);
    if (first.isPresent()) {
      return first.get().digest() == digest
          ? first.get().answer()
          : ChangeResult.failure(
              Code.OPERATION_REUSED,
              "given operation id "
                  + author.operationId()
                  + " with another change, expected an"
                  + " unused id");
    }
    ChangeResult result = execute(command);
    operations.add(new OperationResults.Operation(id, digest, command.logMillis(), result));
    return result;
  }

  /** Replaces subtrees by the documents of a publication; equal documents keep their revision. */
  ChangeResult applyPublication(Command.Publish publish) {
    Map<String, Optional<String>> changes = new LinkedHashMap<>();
    for (String prefix : publish.prefixes()) {
      tree.subtree(prefix).keySet().forEach(path -> changes.put(path, Optional.empty()));
    }
    for (DocumentChange document : publish.documents()) {
      changes.put(document.path(), Optional.of(document.document()));
    }
    changes.entrySet().removeIf(change -> change.getValue().equals(tree.document(change.getKey())));
    return changes.isEmpty()
        ? ChangeResult.ok(revision)
        : change(publish.author(), List.of(), changes);
  }

  private ChangeResult execute(SettingsCommand command) {
    if (command instanceof ChangeSettings change) {
      Map<String, Optional<String>> documents = new LinkedHashMap<>();
      for (DocumentChange one : change.changes()) {
        documents.put(one.path(), Optional.ofNullable(one.document()));
      }
      return change(change.author(), change.expect(), documents);
    }
    if (command instanceof DeletePrefix delete) {
      Map<String, Optional<String>> documents = new LinkedHashMap<>();
      tree.subtree(delete.prefix()).keySet().forEach(p -> documents.put(p, Optional.empty()));
      return documents.isEmpty()
          ? notFound(delete.prefix())
          : change(delete.author(), delete.expect(), documents);
    }
    return rollback((Rollback) command);
  }

  private ChangeResult rollback(Rollback command) {
    Optional<Map<String, String>> earlier =
        history.documentsAt(command.toRevision(), command.prefix());
    if (earlier.isEmpty() || command.toRevision() > revision) {
      return ChangeResult.failure(
          Code.HISTORY_GONE,
          "given revision "
              + command.toRevision()
              + ", expected one from "
              + history.floor()
              + " to "
              + revision);
    }
    Map<String, Optional<String>> documents = new LinkedHashMap<>();
    earlier
        .get()
        .forEach(
            (path, document) -> {
              Optional<String> restored = Optional.ofNullable(document);
              if (!restored.equals(tree.document(path)) && !reactivatesKey(path, restored)) {
                documents.put(path, restored);
              }
            });
    return documents.isEmpty()
        ? ChangeResult.ok(revision)
        : change(command.author(), List.of(), documents);
  }

  /**
   * Returns true when a rollback would make a withdrawn or deleted key valid again, which it must
   * never do.
   */
  private static boolean reactivatesKey(String path, Optional<String> restored) {
    return SettingsPath.parse(path)
            .flatMap(DocumentKind::of)
            .filter(DocumentKind.KEY::equals)
            .isPresent()
        && restored.filter(SettingsTree::isActiveKey).isPresent();
  }

  private ChangeResult change(
      Author author, List<Expectation> expect, Map<String, Optional<String>> documents) {
    for (Expectation expectation : expect) {
      long current = tree.find(expectation.path()).map(SettingsTree.Entry::revision).orElse(0L);
      if (current != expectation.revision()) {
        return ChangeResult.conflict(
            expectation.path(), expectation.revision(), current, lastAuthor(expectation.path()));
      }
    }
    for (Map.Entry<String, Optional<String>> document : documents.entrySet()) {
      if (document.getValue().isEmpty() && tree.find(document.getKey()).isEmpty()) {
        return notFound(document.getKey());
      }
    }
    List<Fault> faults = TreeRules.check(tree, documents);
    if (!faults.isEmpty()) {
      return ChangeResult.invalid(faults);
    }
    if (exceedsBounds(documents)) {
      return ChangeResult.failure(
          Code.FULL,
          "given a change that makes the tree too large, expected at most "
              + SettingsTree.MAX_DOCUMENTS
              + " documents of "
              + SettingsTree.MAX_CHARACTERS
              + " characters in total");
    }
    revision++;
    documents.forEach((path, document) -> write(author, path, document));
    return ChangeResult.ok(revision);
  }

  private boolean exceedsBounds(Map<String, Optional<String>> documents) {
    long count = 0;
    long characters = 0;
    for (Map.Entry<String, Optional<String>> document : documents.entrySet()) {
      Optional<String> before = tree.document(document.getKey());
      count += (document.getValue().isPresent() ? 1 : 0) - (before.isPresent() ? 1 : 0);
      characters += document.getValue().map(String::length).orElse(0);
      characters -= before.map(String::length).orElse(0);
      characters += before.isEmpty() ? document.getKey().length() : 0;
    }
    boolean grows = count > 0 || characters > 0;
    return grows
        && (tree.size() + count > SettingsTree.MAX_DOCUMENTS
            || tree.characters() + characters > SettingsTree.MAX_CHARACTERS);
  }

  private void write(Author author, String path, Optional<String> document) {
    String operator = operatorNames.computeIfAbsent(author.operator(), name -> name);
    Optional<String> previous = tree.document(path);
    if (document.isPresent()) {
      tree.put(
          path, new SettingsTree.Entry(document.get(), revision, operator, author.wallMillis()));
    } else {
      tree.delete(path);
    }
    history.add(
        new ChangeHistory.Change(
            revision,
            path,
            document.orElse(null),
            previous.orElse(null),
            operator,
            author.wallMillis()));
  }

  private String lastAuthor(String path) {
    return tree.find(path)
        .map(SettingsTree.Entry::changedBy)
        .or(() -> history.newest(path, 1).stream().findFirst().map(c -> c.changedBy()))
        .orElse(null);
  }

  private static ChangeResult notFound(String path) {
    return ChangeResult.failure(
        Code.NOT_FOUND, "given " + path + ", expected the path of an existing document");
  }

  private static long digest(SettingsCommand command) {
    try {
      byte[] content = command.content().toString().getBytes(StandardCharsets.UTF_8);
      return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(content)).getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("this Java runtime lacks SHA-256", e);
    }
  }
}
