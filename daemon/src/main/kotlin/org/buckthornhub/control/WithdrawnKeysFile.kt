package org.buckthornhub.control

import kotlinx.serialization.builtins.SetSerializer
import kotlinx.serialization.builtins.serializer
import org.buckthornhub.http.PeerJson
import java.io.File
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption

/** Persists the key withdrawals that the quorum has not committed yet; without a [folder] they are lost with the process. */
internal class WithdrawnKeysFile(private val folder: File?) {
    fun load(): Set<String> {
        val file = folder?.let { File(it, NAME) }?.takeIf { it.exists() } ?: return emptySet()
        return PeerJson.decodeFromString(serializer, file.readText())
    }

    fun save(keyNames: Set<String>) {
        if (folder == null) return
        Files.createDirectories(folder.toPath())
        val temporary = File(folder, "$NAME.new").toPath()
        Files.writeString(temporary, PeerJson.encodeToString(serializer, keyNames))
        FileChannel.open(temporary, StandardOpenOption.WRITE).use { it.force(true) }
        Files.move(temporary, folder.toPath().resolve(NAME), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
    }

    private companion object {
        const val NAME = "withdrawn.json"
        val serializer = SetSerializer(String.serializer())
    }
}
