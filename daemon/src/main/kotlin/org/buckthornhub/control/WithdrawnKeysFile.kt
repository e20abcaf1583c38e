package org.buckthornhub.control

import kotlinx.serialization.builtins.SetSerializer
import kotlinx.serialization.builtins.serializer
import org.buckthornhub.http.PeerJson
import java.io.File

/** Persists the key withdrawals that the quorum has not committed yet; without a [folder] they are lost with the process. */
internal class WithdrawnKeysFile(private val folder: File?) {
    fun load(): Set<String> {
        val bytes = folder?.let { FolderDataFiles(it.toPath()) }?.read(NAME) ?: return emptySet()
        return PeerJson.decodeFromString(serializer, bytes.decodeToString(throwOnInvalidSequence = true))
    }

    fun save(keyNames: Set<String>) {
        if (folder == null) return
        val files = FolderDataFiles(folder.toPath())
        files.write("$NAME.new", PeerJson.encodeToString(serializer, keyNames).toByteArray())
        files.rename("$NAME.new", NAME)
        files.syncFolder()
    }

    private companion object {
        const val NAME = "withdrawn.json"
        val serializer = SetSerializer(String.serializer())
    }
}
